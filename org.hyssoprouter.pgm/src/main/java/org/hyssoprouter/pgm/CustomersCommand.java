package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists customers with their limits, exceptions applied.
 *
 * @since 0.1
 */
public final class CustomersCommand extends ApiCommand {
    /** Creates the command for a cell. */
    public CustomersCommand(ApiClient client) {
        super(client);
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/customers");
    }
}
