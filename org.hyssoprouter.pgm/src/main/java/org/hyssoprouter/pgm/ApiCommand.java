package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * One operation of the API. Parameters are set by chained setters, {@link #call()} sends it.
 *
 * @since 0.1
 */
public abstract class ApiCommand {
    private final ApiClient mClient;

    /** Creates the command for a cell. */
    protected ApiCommand(ApiClient client) {
        mClient = client;
    }

    /** Sends the command and returns its answer. */
    public abstract Either<CliError, ApiReply> call();

    /** Returns the client of the cell. */
    protected final ApiClient client() {
        return mClient;
    }
}
