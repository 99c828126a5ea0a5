package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;

/**
 * Replaces the configuration, if its version is still the one that was edited.
 *
 * @since 0.1
 */
public final class ConfigSetCommand extends ApiCommand {
    private JsonNode mDocument = JsonNodeFactory.instance.objectNode();

    /** Creates the command for a cell. */
    public ConfigSetCommand(ApiClient client) {
        super(client);
    }

    /** Sets the document to send; the daemon checks it. */
    public ConfigSetCommand setDocument(JsonNode document) {
        mDocument = document;
        return this;
    }

    @Override
    public Either<CliError, ApiReply> call() {
        return client().send("PUT", "/v1/config", mDocument);
    }
}
