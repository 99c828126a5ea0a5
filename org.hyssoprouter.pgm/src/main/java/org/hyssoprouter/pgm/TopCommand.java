package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Shows the busiest customers and classes at one entry.
 *
 * @since 0.1
 */
public final class TopCommand extends ApiCommand {
    /** Creates the command for a cell. */
    public TopCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/top");
    }
}
