package org.hyssoprouter.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.hyssoprouter.util.MessageCodec;

/**
 * HTTP response of a stand-in.
 *
 * @param status HTTP status
 * @param headers additional headers
 * @param body content
 * @param delivery how much of the response is sent
 * @since 0.1
 */
public record StandinResponse(
        int status, Map<String, String> headers, byte[] body, Delivery delivery) {
    /** How much of a response is sent. */
    public enum Delivery {
        /** The complete response. */
        COMPLETE,
        /** The headers and half of the body; then the connection is closed. */
        TRUNCATED,
        /** Nothing; the connection is closed. */
        DROPPED
    }

    /** Returns a complete response with a body. */
    public static StandinResponse of(int status, byte[] body) {
        return new StandinResponse(status, Map.of(), body, Delivery.COMPLETE);
    }

    /** Returns a complete response without a body. */
    public static StandinResponse empty(int status) {
        return of(status, new byte[0]);
    }

    /** Returns a complete response whose body is a text message. */
    public static StandinResponse text(int status, String message) {
        return of(status, message.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a complete response whose body is {@code value} encoded as JSON. */
    public static StandinResponse json(int status, Object value) {
        try {
            byte[] body = MessageCodec.json().writeValueAsBytes(value);
            Map<String, String> headers = Map.of("Content-Type", "application/json");
            return new StandinResponse(status, headers, body, Delivery.COMPLETE);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), e);
        }
    }

    /** Returns this response with its additional headers replaced by the given one. */
    public StandinResponse withHeader(String name, String value) {
        return new StandinResponse(status, Map.of(name, value), body, delivery);
    }

    /** Returns this response with another delivery. */
    public StandinResponse withDelivery(Delivery newDelivery) {
        return new StandinResponse(status, headers, body, newDelivery);
    }
}
