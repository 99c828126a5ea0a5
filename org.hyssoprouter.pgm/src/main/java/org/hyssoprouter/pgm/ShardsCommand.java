package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists shards with their owners.
 *
 * @since 0.1
 */
public final class ShardsCommand extends ApiCommand {
    /** Creates a command that is sent with {@code client}. */
    public ShardsCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/shards");
    }
}
