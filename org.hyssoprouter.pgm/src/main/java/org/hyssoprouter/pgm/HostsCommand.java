package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists workers as the owners of their shards see them.
 *
 * @since 0.1
 */
public final class HostsCommand extends ApiCommand {
    /** Creates the command for a cell. */
    public HostsCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/hosts");
    }
}
