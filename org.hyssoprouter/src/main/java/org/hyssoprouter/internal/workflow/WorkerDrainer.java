package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.StepSpec;

/**
 * Stops runs on draining workers that would not finish before the worker leaves, so that they
 * resume elsewhere. Workers are withdrawn with a few seconds of notice while runs of several
 * seconds are active on them, and a gang that loses one member loses the work of all members.
 */
final class WorkerDrainer {
    /**
     * Time for which most workers stay beyond their earliest departure. A run without checkpoints
     * is not stopped if it may still finish within this time.
     */
    static final long EXPECTED_EXTRA_STAY_MILLIS = 1_500;

    private final PoolState mState;

    WorkerDrainer(PoolState state) {
        mState = state;
    }

    /** Stops the runs of a worker that will not finish there, if the worker is draining. */
    void stopUnfinishableRuns(PoolWorker worker, long nowMillis) {
        if (!worker.entry().draining()) {
            return;
        }
        for (Task task : worker.tasks()) {
            if (task.mPhase == Task.Phase.RUNNING && !mayFinish(worker, task)) {
                String inputs =
                        "worker="
                                + worker
                                + " leaves in "
                                + (worker.earliestDepartureMillis() - nowMillis);
                mState.mOutput.recordDecision(task.mKey, "run moved", inputs + " ms");
                mState.stopRun(task, "worker drains", nowMillis);
                mState.abortGang(task, "member moved", nowMillis);
            }
        }
    }

    private static boolean mayFinish(PoolWorker worker, Task task) {
        StepSpec.Behavior behavior = task.mStep.mSpec.habits();
        if (behavior.longRunning()) {
            return false;
        }
        long endMillis = task.expectedEndMillis();
        long extraStayMillis = behavior.checkpoints() ? 0 : EXPECTED_EXTRA_STAY_MILLIS;
        return endMillis < 0 || endMillis <= worker.earliestDepartureMillis() + extraStayMillis;
    }
}
