package org.hyssoprouter.daemon.placement;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.transport.WorkerStatus;

/** In-memory workers, addressed by name, that follow the worker protocol of docs/PORTS.md. */
final class FakeWorkers implements WorkerClient {
    final Map<String, FakeWorker> mWorkers = new TreeMap<>();
    long mNowMillis;

    /** Returns the number of running attempts of a task on all workers. */
    synchronized long runningCount(TaskId task) {
        return mWorkers.values().stream()
                .flatMap(worker -> worker.mTasks.values().stream())
                .filter(report -> report.task().equals(task) && !report.hasEnded())
                .count();
    }

    synchronized FakeWorker worker(String name) {
        return mWorkers.computeIfAbsent(name, n -> new FakeWorker());
    }

    synchronized void advance(long millis) {
        mNowMillis += millis;
        mWorkers.values().forEach(FakeWorker::expireLease);
    }

    synchronized void setReport(String name, TaskId task, int attempt, TaskReport.State state) {
        FakeWorker worker = worker(name);
        worker.mTasks.put(task + "#" + attempt, reportOf(task, attempt, state));
    }

    @Override
    public synchronized CompletableFuture<Either<CallError, WorkerStatus>> renew(
            String address, LeaseRenewal renewal) {
        FakeWorker worker = worker(address);
        if (worker.mUnresponsive) {
            return completed(
                    Either.left(CallError.mayHaveRun(CallError.Kind.TIMEOUT, "no answer")));
        }
        if (renewal.epoch() < worker.mEpoch) {
            return completed(Either.left(CallError.notRun(CallError.Kind.REFUSED, "epoch")));
        }
        if (renewal.notAfterMillis() > 0 && mNowMillis > renewal.notAfterMillis()) {
            return completed(Either.left(CallError.notRun(CallError.Kind.REFUSED, "late")));
        }
        worker.mEpoch = renewal.epoch();
        worker.mLeaseUntilMillis = mNowMillis + renewal.leaseMillis();
        renewal.acknowledged().forEach(a -> worker.mTasks.remove(a.task() + "#" + a.attempt()));
        List<TaskReport> tasks = new ArrayList<>(worker.mTasks.values());
        return completed(Either.right(new WorkerStatus(address, mNowMillis, tasks)));
    }

    @Override
    public synchronized CompletableFuture<Either<CallError, TaskReport>> start(
            String address, StartOrder order) {
        FakeWorker worker = worker(address);
        if (worker.mUnresponsive) {
            return completed(
                    Either.left(CallError.mayHaveRun(CallError.Kind.TIMEOUT, "no answer")));
        }
        boolean refused =
                order.epoch() < worker.mEpoch
                        || mNowMillis > order.notAfterMillis()
                        || mNowMillis >= worker.mLeaseUntilMillis;
        if (refused) {
            return completed(Either.left(CallError.notRun(CallError.Kind.REFUSED, "late")));
        }
        String key = order.task() + "#" + order.attempt();
        worker.mTasks.putIfAbsent(
                key, reportOf(order.task(), order.attempt(), TaskReport.State.RUNNING));
        if (worker.mLosingStartReplies) {
            return completed(Either.left(CallError.mayHaveRun(CallError.Kind.BROKEN, "lost")));
        }
        return completed(Either.right(worker.mTasks.get(key)));
    }

    @Override
    public synchronized CompletableFuture<Either<CallError, TaskReport>> stop(
            String address, String shard, long epoch, TaskId task, int attempt, StopMode mode) {
        FakeWorker worker = worker(address);
        if (worker.mUnresponsive) {
            return completed(
                    Either.left(CallError.mayHaveRun(CallError.Kind.TIMEOUT, "no answer")));
        }
        TaskReport stopped = reportOf(task, attempt, TaskReport.State.STOPPED);
        worker.mTasks.put(task + "#" + attempt, stopped);
        return completed(Either.right(stopped));
    }

    private static TaskReport reportOf(TaskId task, int attempt, TaskReport.State state) {
        return new TaskReport(task, attempt, state, Room.NONE, "");
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** One worker and its injected faults. */
    final class FakeWorker {
        final Map<String, TaskReport> mTasks = new TreeMap<>();
        long mEpoch;
        long mLeaseUntilMillis = Long.MAX_VALUE;
        boolean mUnresponsive;
        boolean mLosingStartReplies;

        void expireLease() {
            if (mNowMillis >= mLeaseUntilMillis) {
                mTasks.replaceAll(
                        (key, report) ->
                                report.hasEnded()
                                        ? report
                                        : reportOf(
                                                report.task(),
                                                report.attempt(),
                                                TaskReport.State.LEASE_LAPSED));
            }
        }
    }
}
