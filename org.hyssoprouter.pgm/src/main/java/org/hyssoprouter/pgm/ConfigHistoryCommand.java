package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists previous versions of the configuration, newest first.
 *
 * @since 0.1
 */
public final class ConfigHistoryCommand extends ApiCommand {
    /** Creates a command that is sent with {@code client}. */
    public ConfigHistoryCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/config/history");
    }
}
