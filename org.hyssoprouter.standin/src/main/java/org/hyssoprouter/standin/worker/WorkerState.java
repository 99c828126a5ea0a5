package org.hyssoprouter.standin.worker;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.TaskReport.State;
import org.hyssoprouter.transport.WorkerClient.StopMode;
import org.hyssoprouter.transport.WorkerStatus;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Thread-safe state of one simulated worker: leases, attempts and history.
 *
 * <p>Every call first applies the time that has passed, so that the expiry of a lease takes effect
 * before a later call does.
 */
final class WorkerState {
    private final String mWorker;
    private final Room mCapacity;
    private final MonotonicClock mClock;
    private final Clock mWallClock;
    private final Map<String, ShardLease> mLeases = new HashMap<>();
    private final Map<AttemptId, TaskRun> mRuns = new LinkedHashMap<>();
    private final List<TaskEvent> mEvents = new ArrayList<>();
    private long mOverfills;
    private long mUsageOverfills;

    WorkerState(String worker, Room capacity, MonotonicClock clock, Clock wallClock) {
        mWorker = worker;
        mCapacity = capacity;
        mClock = clock;
        mWallClock = wallClock;
    }

    /**
     * Ends attempts that have reached their end and stops those of shards whose lease has expired.
     */
    synchronized void advance() {
        long nowMillis = mClock.millis();
        for (TaskRun run : mRuns.values()) {
            if (!run.isRunning()) {
                continue;
            }
            if (!lease(run.shard()).isLive(nowMillis)) {
                end(run, State.LEASE_LAPSED);
            } else if (run.hasReachedEnd(nowMillis)) {
                run.complete();
                recordEnd(run);
            }
        }
    }

    /**
     * Renews the lease of a shard, removes acknowledged ended attempts and returns the other
     * attempts of the shard.
     *
     * @throws RefusedException if the epoch is outdated or the renewal arrives after its deadline
     */
    synchronized WorkerStatus renew(LeaseRenewal renewal) throws RefusedException {
        advance();
        checkEpoch(renewal.shard(), renewal.epoch());
        long nowMillis = mClock.millis();
        if (renewal.notAfterMillis() > 0 && nowMillis > renewal.notAfterMillis()) {
            throw new RefusedException("not-after");
        }
        lease(renewal.shard()).renew(renewal.epoch(), nowMillis + renewal.leaseMillis());
        for (AttemptId attempt : renewal.acknowledged()) {
            TaskRun run = mRuns.get(attempt);
            if (run != null && !run.isRunning()) {
                mRuns.remove(attempt);
            }
        }
        List<TaskReport> reports = new ArrayList<>();
        for (TaskRun run : mRuns.values()) {
            if (run.shard().equals(renewal.shard())) {
                reports.add(run.report(nowMillis));
            }
        }
        return new WorkerStatus(mWorker, nowMillis, reports);
    }

    /**
     * Starts an attempt; if it has been started or stopped before, returns its report. A start
     * above the capacity is executed and counted.
     *
     * @param failsImmediately whether the attempt fails as soon as it is started
     * @throws RefusedException if the epoch is outdated, the deadline has passed, the lease is not
     *     live or another attempt of the task is running
     */
    synchronized TaskReport start(StartOrder order, boolean failsImmediately)
            throws RefusedException {
        advance();
        long nowMillis = mClock.millis();
        AttemptId id = new AttemptId(order.task(), order.attempt());
        String refusal = refusalReason(order, nowMillis);
        TaskRun existing = mRuns.get(id);
        if (existing != null && !refusal.equals("epoch")) {
            return existing.report(nowMillis);
        }
        if (!refusal.isEmpty()) {
            record(TaskEvent.Kind.REFUSED, id, refusal);
            throw new RefusedException(refusal);
        }
        TaskRun run = TaskRun.start(order, nowMillis);
        mRuns.put(id, run);
        record(TaskEvent.Kind.STARTED, id, order.shard() + " " + order.epoch());
        countOverfills();
        if (failsImmediately) {
            end(run, State.FAILED);
        }
        return run.report(nowMillis);
    }

    /**
     * Stops or throttles an attempt; an unknown attempt is recorded as stopped.
     *
     * @throws RefusedException if the epoch is outdated
     */
    synchronized TaskReport stop(StopOrder order) throws RefusedException {
        advance();
        checkEpoch(order.shard(), order.epoch());
        long nowMillis = mClock.millis();
        AttemptId id = new AttemptId(order.task(), order.attempt());
        TaskRun run =
                mRuns.computeIfAbsent(
                        id, key -> TaskRun.stoppedBeforeStart(key, order.shard(), nowMillis));
        if (run.isRunning() && order.mode() == StopMode.THROTTLE) {
            run.throttle(nowMillis);
        } else if (run.isRunning()) {
            end(run, State.STOPPED);
        }
        return run.report(nowMillis);
    }

    synchronized WorkerHistory history() {
        advance();
        return new WorkerHistory(mWorker, mOverfills, mUsageOverfills, List.copyOf(mEvents));
    }

    private String refusalReason(StartOrder order, long nowMillis) {
        ShardLease lease = lease(order.shard());
        if (!lease.acceptEpoch(order.epoch())) {
            return "epoch";
        }
        if (nowMillis > order.notAfterMillis()) {
            return "not-after";
        }
        if (!lease.isHeldBy(order.epoch(), nowMillis)) {
            return "lease";
        }
        for (TaskRun run : mRuns.values()) {
            if (run.isRunning() && run.id().task().equals(order.task())) {
                return "attempt";
            }
        }
        return "";
    }

    private void checkEpoch(String shard, long epoch) throws RefusedException {
        if (!lease(shard).acceptEpoch(epoch)) {
            throw new RefusedException("epoch");
        }
    }

    private ShardLease lease(String shard) {
        return mLeases.computeIfAbsent(shard, key -> new ShardLease());
    }

    private void countOverfills() {
        Room granted = Room.NONE;
        Room used = Room.NONE;
        for (TaskRun run : mRuns.values()) {
            if (run.isRunning()) {
                granted = granted.plus(run.granted());
                used = used.plus(run.usage());
            }
        }
        if (!granted.fitsIn(mCapacity)) {
            mOverfills++;
        }
        if (!used.fitsIn(mCapacity)) {
            mUsageOverfills++;
        }
    }

    private void end(TaskRun run, State state) {
        run.end(state, state.name());
        recordEnd(run);
    }

    private void recordEnd(TaskRun run) {
        record(TaskEvent.Kind.ENDED, run.id(), run.state().name());
    }

    private void record(TaskEvent.Kind kind, AttemptId id, String detail) {
        mEvents.add(
                new TaskEvent(
                        mWallClock.millis(),
                        kind,
                        id.task().job(),
                        id.task().index(),
                        id.attempt(),
                        detail));
    }
}
