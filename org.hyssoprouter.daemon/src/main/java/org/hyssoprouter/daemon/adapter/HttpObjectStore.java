package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.net.URIBuilder;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.ObjectStore;
import org.jspecify.annotations.Nullable;

/**
 * Accesses the platform's object store over HTTP, see docs/PORTS.md.
 *
 * @since 0.1
 */
public final class HttpObjectStore implements ObjectStore {
    private final HttpCaller mCaller;
    private final String mAddress;
    private final long mTimeoutMillis;

    /**
     * Creates the adapter.
     *
     * @param address {@code ip:port} of the platform
     * @param timeoutMillis timeout of each call
     */
    public HttpObjectStore(HttpCaller caller, String address, long timeoutMillis) {
        mCaller = caller;
        mAddress = address;
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public Either<TableError, Boolean> put(String key, byte[] content) {
        return call(requestFor("PUT", key, content)).flatMap(HttpObjectStore::checkNoContent);
    }

    @Override
    public Either<TableError, Option<byte[]>> get(String key) {
        return call(requestFor("GET", key, null)).flatMap(HttpObjectStore::content);
    }

    @Override
    public Either<TableError, Boolean> delete(String key) {
        return call(requestFor("DELETE", key, null)).flatMap(HttpObjectStore::checkNoContent);
    }

    private HttpRequest requestFor(String method, String key, byte @Nullable [] content) {
        String path = new URIBuilder().setPath("/objects/" + key).toString();
        return HttpRequest.of(method, mAddress, path, content);
    }

    private Either<TableError, HttpReply> call(HttpRequest request) {
        return mCaller.callAndWait(request, mTimeoutMillis).mapLeft(HttpObjectStore::errorOf);
    }

    private static TableError errorOf(CallError error) {
        if (error.verdict() == Verdict.NOT_RUN) {
            return TableError.unavailable(error.message());
        }
        return TableError.unknown(error.message());
    }

    private static Either<TableError, Boolean> checkNoContent(HttpReply reply) {
        if (reply.status() == HttpReply.NO_CONTENT) {
            return Either.right(true);
        }
        return Either.left(
                TableError.unavailable("object store answered with status " + reply.status()));
    }

    private static Either<TableError, Option<byte[]>> content(HttpReply reply) {
        return switch (reply.status()) {
            case HttpReply.OK -> Either.right(Option.of(reply.body()));
            case HttpReply.NOT_FOUND -> Either.right(Option.none());
            default ->
                    Either.left(
                            TableError.unavailable(
                                    "object store answered with status " + reply.status()));
        };
    }
}
