package org.hyssoprouter.pgm;

import io.vavr.control.Either;

/**
 * Explains why a job is in its current state.
 *
 * @since 0.1
 */
public final class ExplainCommand extends ApiCommand {
    private String mId = "";

    /** Creates a command that is sent with {@code client}. */
    public ExplainCommand(ApiClient client) {
        super(client);
    }

    /** Sets the id of the job. */
    public ExplainCommand setId(String id) {
        mId = id;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().get("/v1/jobs/" + UrlEncoding.encode(mId) + "/explain");
    }
}
