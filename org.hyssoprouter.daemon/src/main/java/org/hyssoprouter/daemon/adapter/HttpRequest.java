package org.hyssoprouter.daemon.adapter;

import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.message.BasicHeader;
import org.jspecify.annotations.Nullable;

/**
 * Request of an HTTP call.
 *
 * @param method HTTP method
 * @param address {@code ip:port} of the server
 * @param path encoded path, with the query if there is one
 * @param headers headers besides those that describe connection and body
 * @param body content, or null if there is none
 * @since 0.2
 */
public record HttpRequest(
        String method, String address, String path, List<Header> headers, byte @Nullable [] body) {

    /** Returns a request without headers. */
    public static HttpRequest of(
            String method, String address, String path, byte @Nullable [] body) {
        return new HttpRequest(method, address, path, List.of(), body);
    }

    /** Returns a copy with one more header. */
    public HttpRequest withHeader(String name, String value) {
        List<Header> extended = new ArrayList<>(headers);
        extended.add(new BasicHeader(name, value));
        return new HttpRequest(method, address, path, extended, body);
    }
}
