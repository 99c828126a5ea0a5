package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Says on which daemons the newest configuration is in force.
 *
 * @since 0.1
 */
public final class ConfigStatusCommand extends ApiCommand {
    /** Creates the command for a cell. */
    public ConfigStatusCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/config/status");
    }
}
