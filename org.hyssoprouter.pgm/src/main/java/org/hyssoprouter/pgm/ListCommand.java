package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Lists jobs.
 *
 * @since 0.1
 */
public final class ListCommand extends ApiCommand {
    private String mCustomer = "";

    /** Creates a command that is sent with {@code client}. */
    public ListCommand(ApiClient client) {
        super(client);
    }

    /** Restricts the list to the jobs of a customer; the empty string lists all jobs. */
    public ListCommand setCustomer(String customer) {
        mCustomer = customer;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        String query = mCustomer.isEmpty() ? "" : "?customer=" + UrlEncoding.encode(mCustomer);
        return client().get("/v1/jobs" + query);
    }
}
