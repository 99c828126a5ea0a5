package org.hyssoprouter.util;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.msgpack.core.MessagePackException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes records as MessagePack, and provides the JSON mapper.
 *
 * @since 0.1
 */
public final class MessageCodec {
    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());
    private static final ObjectMapper JSON = new ObjectMapper();

    static {
        // Newer peers may add fields, which older ones must ignore.
        MESSAGE_PACK.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    }

    private MessageCodec() {}

    /** Returns the shared JSON mapper, which rejects unknown fields. */
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
     * @throws IOException if the bytes are not a valid encoding of {@code type}
     */
    public static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        T value;
        try {
            value = MESSAGE_PACK.readValue(bytes, type);
        } catch (MessagePackException e) {
            throw new IOException("no MessagePack value: " + e, e);
        }
        if (value == null) {
            throw new IOException("expected " + type.getSimpleName() + ", found nil");
        }
        return value;
    }
}
