package org.hyssoprouter.standin;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.List;
import org.hyssoprouter.util.MessageCodec;

/**
 * HTTP request received by a stand-in.
 *
 * @param method HTTP method
 * @param uri decoder of the path and the query
 * @param headers headers
 * @param body content
 * @param connection connection on which it arrived
 * @since 0.1
 */
public record StandinRequest(
        String method,
        QueryStringDecoder uri,
        HttpHeaders headers,
        byte[] body,
        Connection connection) {
    /** Returns the method and the path, as in {@code GET /stats}. */
    public String route() {
        return method + " " + uri.path();
    }

    /** Returns the path segment at {@code index}, counted from 0, or the empty string. */
    public String segment(int index) {
        String[] segments = uri.path().substring(1).split("/", -1);
        return index < segments.length ? segments[index] : "";
    }

    /** Returns the value of a header, or the empty string. */
    public String header(String name) {
        return headers.get(name, "");
    }

    /** Returns the first value of a query parameter, or the empty string. */
    public String query(String name) {
        return uri.parameters().getOrDefault(name, List.of("")).get(0);
    }

    /**
     * Decodes the body from JSON.
     *
     * @throws IOException if the body cannot be decoded as {@code type}
     */
    public <T> T json(Class<T> type) throws IOException {
        return MessageCodec.json().readValue(body, type);
    }
}
