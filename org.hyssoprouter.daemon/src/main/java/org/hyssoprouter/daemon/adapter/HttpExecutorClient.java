package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;
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
        Request request =
                new Request.Builder()
                        .url(JsonHttp.url(address, "/execute"))
                        .header("Hyssop-Request-Id", execution.requestId())
                        .header("Hyssop-Shard", execution.shard())
                        .header("Hyssop-Epoch", Long.toString(execution.epoch()))
                        .header("Hyssop-Timeout-Millis", Long.toString(execution.timeoutMillis()))
                        .post(RequestBody.create(execution.body()))
                        .build();
        return mCaller.call(request, execution.timeoutMillis())
                .thenApply(result -> result.flatMap(HttpExecutorClient::answerOf));
    }

    @Override
    public CompletableFuture<Either<CallError, Integer>> slotsInUse(
            String address, String shard, long epoch) {
        HttpUrl url =
                HttpUrl.get(JsonHttp.url(address, "/slots"))
                        .newBuilder()
                        .addQueryParameter("shard", shard)
                        .addQueryParameter("epoch", Long.toString(epoch))
                        .build();
        Request request = new Request.Builder().url(url).build();
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
