package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists workers in the state recorded by the owners of their shards.
 *
 * @since 0.1
 */
public final class HostsCommand extends ApiCommand {
    /** Creates a command that is sent with {@code client}. */
    public HostsCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/hosts");
    }
}
