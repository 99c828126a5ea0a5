package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Reads the configuration in force.
 *
 * @since 0.1
 */
public final class ConfigGetCommand extends ApiCommand {
    /** Creates the command for a cell. */
    public ConfigGetCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/config");
    }
}
