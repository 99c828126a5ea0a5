package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** What time alone asks for: due occurrences, silent workers, unanswered stops, stalled runs. */
final class Upkeep {
    /** Time after which an unanswered stop is sent again. */
    static final long STOP_AGAIN_MILLIS = 600;

    /** Time without progress after which a run counts as stalled: two reports and a restore. */
    static final long STALL_MILLIS = 2_600;

    private static final int AT_WORK_PERCENT = 100;

    private final PoolState mState;
    private final RunTracker mRuns;
    private final WorkerTrust mTrust;
    private final Evacuation mEvacuation;
    private final long mStartedMillis;

    Upkeep(PoolState state, RunTracker runs, WorkerTrust trust, long startedMillis) {
        mState = state;
        mRuns = runs;
        mTrust = trust;
        mEvacuation = new Evacuation(state, runs);
        mStartedMillis = startedMillis;
    }

    void run(long nowMillis, long epochMillis) {
        for (Workflow workflow : mState.mWorkflows.values()) {
            if (workflow.mSpec.timed() && !workflow.mState.isFinal()) {
                openDue(workflow, nowMillis, epochMillis);
            }
        }
        for (PoolWorker worker : mState.mWorkers.values()) {
            watch(worker, nowMillis);
        }
    }

    private void openDue(Workflow workflow, long nowMillis, long epochMillis) {
        WorkflowSpec.Schedule schedule = workflow.mSpec.schedule();
        for (int k = 0; k < schedule.repeatCount(); k++) {
            long dueMillis = schedule.firstDueMillis() + k * schedule.intervalMillis();
            if (dueMillis > epochMillis) {
                return;
            }
            if (!workflow.knows(k)) {
                mState.wake(workflow, k, nowMillis);
            }
        }
    }

    private void watch(PoolWorker worker, long nowMillis) {
        if (worker.isIdle()) {
            return;
        }
        boolean neverHeard = !worker.mClock.isKnown();
        boolean settled = nowMillis - mStartedMillis > mState.mLimits.silenceMillis();
        if (neverHeard ? settled : worker.mClock.leasesLapsed(nowMillis)) {
            mRuns.lost(worker, "leases lapsed", nowMillis);
            return;
        }
        mEvacuation.run(worker, nowMillis);
        for (Task task : worker.tasks()) {
            watch(worker, task, nowMillis);
        }
    }

    private void watch(PoolWorker worker, Task task, long nowMillis) {
        if (task.mPhase == Task.Phase.STOPPING) {
            boolean again =
                    task.mStopAckMillis == 0
                            ? nowMillis - task.mStopSentMillis > STOP_AGAIN_MILLIS
                            : nowMillis - task.mStopAckMillis
                                    > mState.mLimits.stopMillis() + STOP_AGAIN_MILLIS;
            if (again && nowMillis - task.mStopSentMillis > STOP_AGAIN_MILLIS) {
                // An acknowledgement stands: a report that was asked for after it settles the run.
                mState.stop(task, "stop again", nowMillis);
            }
            return;
        }
        boolean mayStall =
                task.mPhase == Task.Phase.RUNNING
                        && task.mPercent < AT_WORK_PERCENT
                        && task.mPercent >= 0
                        && worker.mContactMillis > task.mPercentMillis;
        if (mayStall && nowMillis - task.mPercentMillis > STALL_MILLIS) {
            mTrust.stalled(worker, task, nowMillis);
            mState.stop(task, "no progress", nowMillis);
            mRuns.abortGang(task, "member does not advance", nowMillis);
        }
    }
}
