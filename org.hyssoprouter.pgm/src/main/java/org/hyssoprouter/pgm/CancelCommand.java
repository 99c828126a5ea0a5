package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Cancels a job.
 *
 * @since 0.1
 */
public final class CancelCommand extends ApiCommand {
    private String mId = "";

    /** Creates a command that is sent with {@code client}. */
    public CancelCommand(ApiClient client) {
        super(client);
    }

    /** Sets the id of the job. */
    public CancelCommand setId(String id) {
        mId = id;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().send("DELETE", "/v1/jobs/" + UrlEncoding.encode(mId), null);
    }
}
