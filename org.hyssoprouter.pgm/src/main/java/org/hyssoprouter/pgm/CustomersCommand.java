package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists customers with their effective limits, including exceptions.
 *
 * @since 0.1
 */
public final class CustomersCommand extends ApiCommand {
    /** Creates a command that is sent with {@code client}. */
    public CustomersCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/customers");
    }
}
