package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** What time alone asks for: due occurrences, silent workers, unanswered stops, stalled runs. */
final class PeriodicChecks {
    /** Time after which an unanswered stop is sent again. */
    static final long STOP_RETRY_MILLIS = 600;

    /** Time without progress after which a run counts as stalled: two reports and a restore. */
    static final long STALL_TIMEOUT_MILLIS = 2_600;

    private static final int LONG_RUNNING_PERCENT = 100;

    private final PoolState mState;
    private final RunTracker mRuns;
    private final WorkerHealthTracker mHealth;
    private final WorkerDrainer mDrainer;
    private final long mOwnershipStartMillis;

    PeriodicChecks(
            PoolState state, RunTracker runs, WorkerHealthTracker trust, long startedMillis) {
        mState = state;
        mRuns = runs;
        mHealth = trust;
        mDrainer = new WorkerDrainer(state, runs);
        mOwnershipStartMillis = startedMillis;
    }

    void run(long nowMillis, long epochMillis) {
        for (Workflow workflow : mState.mWorkflows.values()) {
            if (workflow.mSpec.hasSchedule() && !workflow.mState.isFinal()) {
                openDueOccurrences(workflow, nowMillis, epochMillis);
            }
        }
        for (PoolWorker worker : mState.mWorkers.values()) {
            check(worker, nowMillis);
        }
    }

    private void openDueOccurrences(Workflow workflow, long nowMillis, long epochMillis) {
        WorkflowSpec.Schedule schedule = workflow.mSpec.schedule();
        for (int k = 0; k < schedule.repeatCount(); k++) {
            long dueMillis = schedule.firstDueMillis() + k * schedule.intervalMillis();
            if (dueMillis > epochMillis) {
                return;
            }
            if (!workflow.hasOpened(k)) {
                mState.queueReadySteps(workflow, k, nowMillis);
            }
        }
    }

    private void check(PoolWorker worker, long nowMillis) {
        if (worker.isIdle()) {
            return;
        }
        boolean neverHeard = !worker.mClock.isKnown();
        boolean settled = nowMillis - mOwnershipStartMillis > mState.mLimits.leaseExpiryMillis();
        if (neverHeard ? settled : worker.mClock.allLeasesExpired(nowMillis)) {
            mRuns.handleLostRuns(worker, "leases lapsed", nowMillis);
            return;
        }
        mDrainer.stopUnfinishableRuns(worker, nowMillis);
        for (Task task : worker.tasks()) {
            check(worker, task, nowMillis);
        }
    }

    private void check(PoolWorker worker, Task task, long nowMillis) {
        if (task.mPhase == Task.Phase.STOPPING) {
            boolean again =
                    task.mStopAckMillis == 0
                            ? nowMillis - task.mStopSentMillis > STOP_RETRY_MILLIS
                            : nowMillis - task.mStopAckMillis
                                    > mState.mLimits.stopMillis() + STOP_RETRY_MILLIS;
            if (again && nowMillis - task.mStopSentMillis > STOP_RETRY_MILLIS) {
                // An acknowledgement stands: a report that was asked for after it settles the run.
                mState.stopRun(task, "stop again", nowMillis);
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
            mRuns.abortGang(task, "member does not advance", nowMillis);
        }
    }
}
