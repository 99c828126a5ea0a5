package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Drains a worker, or cancels its drain.
 *
 * @since 0.1
 */
public final class DrainCommand extends ApiCommand {
    private String mWorker = "";
    private boolean mUndo;

    /** Creates a command that is sent with {@code client}. */
    public DrainCommand(ApiClient client) {
        super(client);
    }

    /** Sets the name of the worker. */
    public DrainCommand setWorker(String worker) {
        mWorker = worker;
        return this;
    }

    /** Sets whether the drain is cancelled and the worker is used again. */
    public DrainCommand setUndo(boolean undo) {
        mUndo = undo;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        String method = mUndo ? "DELETE" : "POST";
        return client().send(method, "/v1/hosts/" + UrlEncoding.encode(mWorker) + "/drain", null);
    }
}
