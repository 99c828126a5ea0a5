package org.hyssoprouter.internal.workflow;

/**
 * Detects workers that fail or stall their runs and excludes them from placement for a while. A
 * worker that fails every run quickly always looks idle and would otherwise attract one task after
 * another.
 */
final class WorkerHealthTracker {
    /**
     * Consecutive failures after which a worker is excluded. About 5% of runs fail regardless of
     * the worker, so a healthy worker practically never reaches this number.
     */
    static final int FAILURES_TO_EXCLUDE = 2;

    /** Duration of the first exclusion of a worker; it doubles with each further one. */
    static final long MIN_EXCLUSION_MILLIS = 2_000;

    /** Maximum duration of an exclusion. */
    static final long MAX_EXCLUSION_MILLIS = 8_000;

    private final PoolState mState;

    WorkerHealthTracker(PoolState state) {
        mState = state;
    }

    void recordSuccess(PoolWorker worker) {
        worker.mConsecutiveFailures = 0;
        worker.mConsecutiveExclusions = 0;
    }

    void recordFailure(PoolWorker worker, Task task, long nowMillis) {
        task.mFailedWorkers.add(worker.mId);
        if (++worker.mConsecutiveFailures >= FAILURES_TO_EXCLUDE) {
            exclude(worker, "consecutive failures: " + worker.mConsecutiveFailures, nowMillis);
        }
    }

    void recordStall(PoolWorker worker, Task task, long nowMillis) {
        task.mStep.excludeStalled(worker.mId, nowMillis + MAX_EXCLUSION_MILLIS);
        exclude(worker, "run " + task.mKey + " stalled", nowMillis);
    }

    private void exclude(PoolWorker worker, String reason, long nowMillis) {
        long millis =
                Math.min(
                        MAX_EXCLUSION_MILLIS,
                        MIN_EXCLUSION_MILLIS << Math.min(4, worker.mConsecutiveExclusions));
        worker.mConsecutiveExclusions++;
        worker.mExcludedUntilMillis = Math.max(worker.mExcludedUntilMillis, nowMillis + millis);
        mState.mOutput.recordDecision(
                worker.mId, "worker avoided", "millis=" + millis + " " + reason);
    }
}
