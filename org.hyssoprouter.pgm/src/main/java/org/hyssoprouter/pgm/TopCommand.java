package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists the busiest customers and traffic classes of the daemon that is called.
 *
 * @since 0.1
 */
public final class TopCommand extends ApiCommand {
    /** Creates a command that is sent with {@code client}. */
    public TopCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/top");
    }
}
