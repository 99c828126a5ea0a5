package org.hyssoprouter.internal.workflow;

/**
 * Finds workers that fail or stall what they run. Load pattern: a few workers of a pool fail every
 * run fast, so that they look idle and would draw one task after the other.
 */
final class WorkerHealthTracker {
    /**
     * Failures in a row that a sound worker practically never has: 5% of runs fail by themselves.
     */
    static final int FAILURES_TO_EXCLUDE = 2;

    /** First time for which a failing worker gets nothing; doubles with each further failure. */
    static final long MIN_EXCLUSION_MILLIS = 2_000;

    /** Longest time for which a worker gets nothing. */
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
            exclude(worker, "failures in a row: " + worker.mConsecutiveFailures, nowMillis);
        }
    }

    void recordStall(PoolWorker worker, Task task, long nowMillis) {
        task.mStep.mStalledWorkers.add(worker.mId);
        exclude(worker, "run " + task.mKey + " does not advance", nowMillis);
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
