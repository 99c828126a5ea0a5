package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Reads the state of a job and its tasks.
 *
 * @since 0.1
 */
public final class StatusCommand extends ApiCommand {
    private String mId = "";

    /** Creates a command that is sent with {@code client}. */
    public StatusCommand(ApiClient client) {
        super(client);
    }

    /** Sets the id of the job. */
    public StatusCommand setId(String id) {
        mId = id;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/jobs/" + UrlEncoding.encode(mId));
    }
}
