package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Takes a worker out of use, or puts it back.
 *
 * @since 0.1
 */
public final class DrainCommand extends ApiCommand {
    private String mWorker = "";
    private boolean mUndo;

    /** Creates the command for a cell. */
    public DrainCommand(ApiClient client) {
        super(client);
    }

    /** Sets the name of the worker. */
    public DrainCommand setWorker(String worker) {
        mWorker = worker;
        return this;
    }

    /** Sets whether the worker is put back into use. */
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
