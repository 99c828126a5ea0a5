package org.hyssoprouter.util;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * MessagePack and JSON forms of typed records.
 *
 * @since 0.1
 */
public final class MessageCodec {
    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());
    private static final ObjectMapper JSON = new ObjectMapper();

    static {
        // A newer peer may add fields; an older one must still read what it knows.
        MESSAGE_PACK.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    }

    private MessageCodec() {}

    /** Returns the shared JSON mapper, which refuses unknown fields. */
    public static ObjectMapper json() {
        return JSON;
    }

    /**
     * Encodes a record as MessagePack.
     *
     * @throws IllegalArgumentException if the type cannot be encoded
     */
    public static byte[] encode(Object value) {
        try {
            return MESSAGE_PACK.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), e);
        }
    }

    /**
     * Decodes a record from MessagePack.
     *
     * @throws IOException if the bytes are not of that type
     */
    public static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        return MESSAGE_PACK.readValue(bytes, type);
    }
}
