package org.hyssoprouter.internal.workflow;

/**
 * Performs the time-driven checks of the scheduler: notes due occurrences, requeues runs whose
 * lease has expired, drains workers, repeats unconfirmed stops, and stops stalled runs.
 */
final class PeriodicChecks {
    /** Delay after which an unconfirmed stop is sent again. */
    static final long STOP_RETRY_MILLIS = 600;

    /**
     * Time without progress after which a run is stalled; allows for two reports and the restore of
     * a checkpoint.
     */
    static final long STALL_TIMEOUT_MILLIS = 2_600;

    /** Progress that a long-running task reports while it works. */
    private static final int LONG_RUNNING_PERCENT = 100;

    private final PoolState mState;
    private final LostRuns mLostRuns;
    private final WorkerHealthTracker mHealth;
    private final WorkerDrainer mDrainer;
    private final long mOwnershipStartMillis;

    PeriodicChecks(
            PoolState state,
            LostRuns lostRuns,
            WorkerHealthTracker health,
            long ownershipStartMillis) {
        mState = state;
        mLostRuns = lostRuns;
        mHealth = health;
        mDrainer = new WorkerDrainer(state);
        mOwnershipStartMillis = ownershipStartMillis;
    }

    /**
     * Runs all checks.
     *
     * @param nowMillis owner's monotonic clock, in milliseconds
     * @param epochMillis time of day, in milliseconds since 1970
     */
    void run(long nowMillis, long epochMillis) {
        for (Workflow workflow : mState.mScheduled) {
            workflow.mOccurrences.setDueCount(
                    OccurrenceOpener.dueCount(workflow.mSpec.schedule(), epochMillis));
        }
        mState.mProgress.update(nowMillis);
        for (PoolWorker worker : mState.mWorkers.values()) {
            check(worker, nowMillis);
        }
    }

    private void check(PoolWorker worker, long nowMillis) {
        if (worker.isIdle() && !worker.hasUnallocatedRuns()) {
            return;
        }
        boolean neverReported = !worker.mClock.isKnown();
        // A start that has reached an incarnation without a report holds a lease there.
        long leasedMillis = Math.max(mOwnershipStartMillis, worker.restartKnownMillis());
        boolean previousLeasesExpired =
                nowMillis - leasedMillis > mState.mLimits.leaseExpiryMillis();
        if (neverReported ? previousLeasesExpired : worker.mClock.allLeasesExpired(nowMillis)) {
            worker.releaseUnallocated();
            mLostRuns.handleAll(worker, WorkerLoss.presumed(RunLossCause.LAPSED), nowMillis);
            return;
        }
        mDrainer.stopUnfinishableRuns(worker, nowMillis);
        for (Task task : worker.tasks()) {
            check(worker, task, nowMillis);
        }
    }

    private void check(PoolWorker worker, Task task, long nowMillis) {
        if (task.isStopOrdered()) {
            boolean overdue =
                    task.mStopAckMillis == 0
                            ? nowMillis - task.mStopSentMillis > STOP_RETRY_MILLIS
                            : nowMillis - task.mStopAckMillis
                                    > mState.mLimits.stopMillis() + STOP_RETRY_MILLIS;
            if (overdue && nowMillis - task.mStopSentMillis > STOP_RETRY_MILLIS) {
                mState.repeatStop(task, nowMillis);
            }
            return;
        }
        boolean mayStall =
                task.mPhase == Task.Phase.RUNNING
                        && task.mPercent < LONG_RUNNING_PERCENT
                        && task.mPercent >= 0
                        && worker.mLastReportMillis > task.mPercentMillis;
        if (mayStall && nowMillis - task.mPercentMillis > STALL_TIMEOUT_MILLIS) {
            mHealth.recordStall(worker, task, nowMillis);
            mState.stopRun(task, "no progress", nowMillis);
            mState.abortGang(task, "member stalled", nowMillis);
        }
    }
}
