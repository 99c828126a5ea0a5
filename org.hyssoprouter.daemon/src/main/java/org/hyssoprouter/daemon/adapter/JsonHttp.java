package org.hyssoprouter.daemon.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.util.MessageCodec;

/**
 * Creates requests with JSON bodies and decodes JSON answers, for the HTTP adapters.
 *
 * @since 0.1
 */
public final class JsonHttp {
    private static final MediaType JSON = MediaType.get("application/json");

    private JsonHttp() {}

    /** Returns a POST request whose body is the message in JSON. */
    public static Request post(String address, String path, Object message) {
        return new Request.Builder().url(url(address, path)).post(encodeBody(message)).build();
    }

    /** Returns a GET request. */
    public static Request get(String address, String path) {
        return new Request.Builder().url(url(address, path)).build();
    }

    static String url(String address, String path) {
        return "http://" + address + path;
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
            HttpCaller caller, Request request, long timeoutMillis, Class<T> type) {
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

    private static RequestBody encodeBody(Object message) {
        try {
            return RequestBody.create(MessageCodec.json().writeValueAsBytes(message), JSON);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot encode " + message.getClass(), e);
        }
    }
}
