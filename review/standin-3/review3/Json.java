package review3;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON. */
final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    static JsonNode parse(byte[] bytes) throws IOException {
        return bytes.length == 0 ? object() : MAPPER.readTree(bytes);
    }

    /** Parses an answer, whose body may be a plain text or empty. */
    static JsonNode parseAnswer(byte[] bytes) {
        try {
            return parse(bytes);
        } catch (IOException e) {
            return object();
        }
    }

    static byte[] encode(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode JSON", e);
        }
    }
}
