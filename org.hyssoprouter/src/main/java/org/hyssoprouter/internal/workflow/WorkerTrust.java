package org.hyssoprouter.internal.workflow;

/**
 * Finds workers that fail or stall what they run. Load pattern: a few workers of a pool fail every
 * run fast, so that they look idle and would draw one task after the other.
 */
final class WorkerTrust {
    /**
     * Failures in a row that a sound worker practically never has: 5% of runs fail by themselves.
     */
    static final int FAILURES_TO_AVOID = 2;

    /** First time for which a failing worker gets nothing; doubles with each further failure. */
    static final long AVOID_MILLIS = 2_000;

    /** Longest time for which a worker gets nothing. */
    static final long LONGEST_AVOID_MILLIS = 8_000;

    private final PoolState mState;

    WorkerTrust(PoolState state) {
        mState = state;
    }

    void succeeded(PoolWorker worker) {
        worker.mFailuresInRow = 0;
        worker.mPenalties = 0;
    }

    void failed(PoolWorker worker, Task task, long nowMillis) {
        task.mFailedOn.add(worker.mId);
        if (++worker.mFailuresInRow >= FAILURES_TO_AVOID) {
            avoid(worker, "failures in a row: " + worker.mFailuresInRow, nowMillis);
        }
    }

    void stalled(PoolWorker worker, Task task, long nowMillis) {
        task.mStep.mAvoided.add(worker.mId);
        avoid(worker, "run " + task.mKey + " does not advance", nowMillis);
    }

    private void avoid(PoolWorker worker, String reason, long nowMillis) {
        long millis =
                Math.min(LONGEST_AVOID_MILLIS, AVOID_MILLIS << Math.min(4, worker.mPenalties));
        worker.mPenalties++;
        worker.mAvoidUntilMillis = Math.max(worker.mAvoidUntilMillis, nowMillis + millis);
        mState.mEffects.decided(worker.mId, "worker avoided", "millis=" + millis + " " + reason);
    }
}
