package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Reads the current configuration.
 *
 * @since 0.1
 */
public final class ConfigGetCommand extends ApiCommand {
    /** Creates a command that is sent with {@code client}. */
    public ConfigGetCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/config");
    }
}
