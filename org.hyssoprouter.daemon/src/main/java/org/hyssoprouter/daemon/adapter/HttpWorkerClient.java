package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.transport.WorkerStatus;

/**
 * Calls workers over HTTP, see docs/PORTS.md.
 *
 * @since 0.1
 */
public final class HttpWorkerClient implements WorkerClient {
    private final HttpCaller mCaller;
    private final long mTimeoutMillis;

    /**
     * Creates the adapter.
     *
     * @param timeoutMillis timeout of each call
     */
    public HttpWorkerClient(HttpCaller caller, long timeoutMillis) {
        mCaller = caller;
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public CompletableFuture<Either<CallError, WorkerStatus>> renew(
            String address, LeaseRenewal renewal) {
        return post(address, "/lease", renewal, WorkerStatus.class);
    }

    @Override
    public CompletableFuture<Either<CallError, TaskReport>> start(
            String address, StartOrder order) {
        return post(address, "/tasks", order, TaskReport.class);
    }

    @Override
    public CompletableFuture<Either<CallError, TaskReport>> stop(
            String address, String shard, long epoch, TaskId task, int attempt, StopMode mode) {
        StopOrder order = new StopOrder(shard, epoch, task, attempt, mode);
        return post(address, "/tasks/stop", order, TaskReport.class);
    }

    private <T> CompletableFuture<Either<CallError, T>> post(
            String address, String path, Object message, Class<T> type) {
        return JsonHttp.call(mCaller, JsonHttp.post(address, path, message), mTimeoutMillis, type);
    }

    private record StopOrder(String shard, long epoch, TaskId task, int attempt, StopMode mode) {}
}
