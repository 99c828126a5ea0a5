package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Reads former versions of the configuration, newest first.
 *
 * @since 0.1
 */
public final class ConfigHistoryCommand extends ApiCommand {
    /** Creates the command for a cell. */
    public ConfigHistoryCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/config/history");
    }
}
