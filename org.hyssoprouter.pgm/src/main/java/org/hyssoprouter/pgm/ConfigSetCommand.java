package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;

/**
 * Replaces the configuration if the version in the document is still the current one.
 *
 * @since 0.1
 */
public final class ConfigSetCommand extends ApiCommand {
    private JsonNode mDocument = JsonNodeFactory.instance.objectNode();

    /** Creates a command that is sent with {@code client}. */
    public ConfigSetCommand(ApiClient client) {
        super(client);
    }

    /** Sets the configuration document to send; the daemon validates it. */
    public ConfigSetCommand setDocument(JsonNode document) {
        mDocument = document;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().send("PUT", "/v1/config", mDocument);
    }
}
