package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Base class of the operations of the daemons' HTTP API. Chained setters set the parameters and
 * {@link #call()} sends the request.
 *
 * @since 0.1
 */
public abstract class ApiCommand {
    private final ApiClient mClient;

    /** Creates a command that is sent with {@code client}. */
    protected ApiCommand(ApiClient client) {
        mClient = client;
    }

    /** Sends the request and returns the daemon's reply. */
    public abstract Either<CliError, ApiReply> call();

    /** Returns the client that sends the request. */
    protected final ApiClient client() {
        return mClient;
    }
}
