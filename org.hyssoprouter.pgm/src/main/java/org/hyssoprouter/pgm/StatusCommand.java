package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Reads one job with its tasks.
 *
 * @since 0.1
 */
public final class StatusCommand extends ApiCommand {
    private String mId = "";

    /** Creates the command for a cell. */
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
