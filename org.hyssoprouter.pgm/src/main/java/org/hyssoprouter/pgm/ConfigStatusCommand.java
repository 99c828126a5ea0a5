package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Reads which daemons apply the newest configuration.
 *
 * @since 0.1
 */
public final class ConfigStatusCommand extends ApiCommand {
    /** Creates a command that is sent with {@code client}. */
    public ConfigStatusCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/config/status");
    }
}
