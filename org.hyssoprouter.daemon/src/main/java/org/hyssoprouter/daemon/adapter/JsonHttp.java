package org.hyssoprouter.daemon.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URISyntaxException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.net.InetAddressUtils;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.util.MessageCodec;

/**
 * Creates requests with JSON bodies and decodes JSON answers, for the HTTP adapters.
 *
 * @since 0.1
 */
public final class JsonHttp {
    private static final List<Header> JSON_HEADERS =
            List.of(new BasicHeader(HttpHeaders.CONTENT_TYPE, "application/json"));

    private JsonHttp() {}

    /** Returns a POST request whose body is the message in JSON. */
    public static HttpRequest post(String address, String path, Object message) {
        return new HttpRequest("POST", address, path, JSON_HEADERS, encodeBody(message));
    }

    /** Returns a GET request. */
    public static HttpRequest get(String address, String path) {
        return HttpRequest.of("GET", address, path, null);
    }

    /**
     * Returns whether the text is a valid {@code ip:port}. A call to a host name would block until
     * the name is resolved.
     */
    public static boolean isIpAddress(String text) {
        try {
            HttpHost host = HttpHost.create(text);
            boolean isIp =
                    InetAddressUtils.isIPv4(host.getHostName())
                            || InetAddressUtils.isIPv6(host.getHostName());
            return isIp && host.toHostString().equals(text) && host.getPort() > 0;
        } catch (URISyntaxException | IllegalArgumentException e) {
            return false;
        }
    }

    /**
     * Decodes the body of an answer with status 200; status 409 means that the call was refused.
     */
    static <T> Either<CallError, T> decode(HttpReply reply, Class<T> type) {
        if (reply.status() == HttpReply.CONFLICT) {
            return Either.left(CallError.notRun(CallError.Kind.REFUSED, bodyText(reply)));
        }
        if (reply.status() != HttpReply.OK) {
            return Either.left(unexpectedStatus(reply));
        }
        try {
            return Either.right(MessageCodec.json().readValue(reply.body(), type));
        } catch (IOException e) {
            return Either.left(
                    CallError.mayHaveRun(
                            CallError.Kind.BROKEN, "cannot decode the answer: " + e.getMessage()));
        }
    }

    static <T> CompletableFuture<Either<CallError, T>> call(
            HttpCaller caller, HttpRequest request, long timeoutMillis, Class<T> type) {
        return caller.call(request, timeoutMillis)
                .thenApply(result -> result.flatMap(reply -> decode(reply, type)));
    }

    private static CallError unexpectedStatus(HttpReply reply) {
        return new CallError(
                CallError.Kind.BROKEN,
                Verdict.MAY_HAVE_RUN,
                "unexpected status " + reply.status() + ": " + bodyText(reply));
    }

    private static String bodyText(HttpReply reply) {
        return new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8);
    }

    private static byte[] encodeBody(Object message) {
        try {
            return MessageCodec.json().writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode " + message.getClass(), e);
        }
    }
}
