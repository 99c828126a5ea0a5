package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;

/**
 * Submits a job.
 *
 * @since 0.1
 */
public final class SubmitCommand extends ApiCommand {
    private JsonNode mDocument = JsonNodeFactory.instance.objectNode();

    /** Creates a command that is sent with {@code client}. */
    public SubmitCommand(ApiClient client) {
        super(client);
    }

    /** Sets the job document to send; the daemon validates it. */
    public SubmitCommand setDocument(JsonNode document) {
        mDocument = document;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().send("POST", "/v1/jobs", mDocument);
    }
}
