package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.net.URIBuilder;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.transport.ExecutorClient;

/**
 * Calls executors over HTTP, see docs/PORTS.md.
 *
 * @since 0.1
 */
public final class HttpExecutorClient implements ExecutorClient {
    private final HttpCaller mCaller;
    private final long mStatusTimeoutMillis;

    /**
     * Creates the adapter.
     *
     * @param statusTimeoutMillis timeout of a query for the slots in use
     */
    public HttpExecutorClient(HttpCaller caller, long statusTimeoutMillis) {
        mCaller = caller;
        mStatusTimeoutMillis = statusTimeoutMillis;
    }

    @Override
    public CompletableFuture<Either<CallError, Answer>> execute(
            String address, Execution execution) {
        HttpRequest request =
                HttpRequest.of("POST", address, "/execute", execution.body())
                        .withHeader("Hyssop-Request-Id", execution.requestId())
                        .withHeader("Hyssop-Shard", execution.shard())
                        .withHeader("Hyssop-Epoch", Long.toString(execution.epoch()))
                        .withHeader(
                                "Hyssop-Timeout-Millis", Long.toString(execution.timeoutMillis()));
        return mCaller.call(request, execution.timeoutMillis())
                .thenApply(result -> result.flatMap(HttpExecutorClient::answerOf));
    }

    @Override
    public CompletableFuture<Either<CallError, Integer>> slotsInUse(
            String address, String shard, long epoch) {
        String path =
                new URIBuilder()
                        .setPath("/slots")
                        .addParameter("shard", shard)
                        .addParameter("epoch", Long.toString(epoch))
                        .toString();
        HttpRequest request = JsonHttp.get(address, path);
        return JsonHttp.call(mCaller, request, mStatusTimeoutMillis, Slots.class)
                .thenApply(result -> result.map(Slots::inUse));
    }

    private static Either<CallError, Answer> answerOf(HttpReply reply) {
        if (reply.refusalReason() != null) {
            return Either.left(CallError.notRun(CallError.Kind.REFUSED, reply.refusalReason()));
        }
        return Either.right(new Answer(reply.status(), reply.body()));
    }

    private record Slots(int inUse) {}
}
