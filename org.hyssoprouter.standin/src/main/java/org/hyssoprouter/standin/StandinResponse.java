package org.hyssoprouter.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.hyssoprouter.util.MessageCodec;

/**
 * Answer of a stand-in.
 *
 * @param status HTTP status
 * @param headers additional headers
 * @param body content
 * @param delivery how much of the answer reaches the caller
 * @since 0.1
 */
public record StandinResponse(
        int status, Map<String, String> headers, byte[] body, Delivery delivery) {
    /** How much of an answer reaches the caller. */
    public enum Delivery {
        /** The whole answer. */
        COMPLETE,
        /** Half of the body, then the connection is closed. */
        TRUNCATED,
        /** Nothing: the connection is closed. */
        DROPPED
    }

    /** Returns an answer with a body. */
    public static StandinResponse of(int status, byte[] body) {
        return new StandinResponse(status, Map.of(), body, Delivery.COMPLETE);
    }

    /** Returns an answer without a body. */
    public static StandinResponse empty(int status) {
        return of(status, new byte[0]);
    }

    /** Returns a refusal with a text for people. */
    public static StandinResponse text(int status, String message) {
        return of(status, message.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns an answer whose body is the JSON form of {@code value}. */
    public static StandinResponse json(int status, Object value) {
        try {
            byte[] body = MessageCodec.json().writeValueAsBytes(value);
            Map<String, String> headers = Map.of("Content-Type", "application/json");
            return new StandinResponse(status, headers, body, Delivery.COMPLETE);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode " + value.getClass().getName(), e);
        }
    }

    /** Returns this answer with one more header in place of the present ones. */
    public StandinResponse withHeader(String name, String value) {
        return new StandinResponse(status, Map.of(name, value), body, delivery);
    }

    /** Returns this answer delivered in another way. */
    public StandinResponse withDelivery(Delivery how) {
        return new StandinResponse(status, headers, body, how);
    }
}
