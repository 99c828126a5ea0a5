package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.StepSpec;

/**
 * Moves runs off workers that are about to leave. Load pattern: workers are taken away with a few
 * seconds of notice, while runs of several seconds are on them; a gang that loses one member loses
 * the work of all.
 */
final class WorkerDrainer {
    /**
     * Time after its earliest departure for which a worker is expected to stay, as most do; a run
     * that saves nothing is left alone if it may still end in that time.
     */
    static final long EXPECTED_EXTRA_STAY_MILLIS = 1_500;

    private final PoolState mState;
    private final RunTracker mRuns;

    WorkerDrainer(PoolState state, RunTracker runs) {
        mState = state;
        mRuns = runs;
    }

    /** Stops the runs of a worker that drains which would not end there in time. */
    void stopUnfinishableRuns(PoolWorker worker, long nowMillis) {
        if (!worker.entry().draining()) {
            return;
        }
        for (Task task : worker.tasks()) {
            if (task.mPhase == Task.Phase.RUNNING && !willFinish(worker, task)) {
                String inputs =
                        "worker="
                                + worker
                                + " leaves in "
                                + (worker.earliestDepartureMillis() - nowMillis);
                mState.mOutput.recordDecision(task.mKey, "run moved", inputs + " ms");
                mState.stopRun(task, "worker drains", nowMillis);
                mRuns.abortGang(task, "member moved", nowMillis);
            }
        }
    }

    private static boolean willFinish(PoolWorker worker, Task task) {
        StepSpec.Behavior habits = task.mStep.mSpec.habits();
        if (habits.longRunning()) {
            return false;
        }
        long endMillis = task.expectedEndMillis();
        long lingerMillis = habits.checkpoints() ? 0 : EXPECTED_EXTRA_STAY_MILLIS;
        return endMillis < 0 || endMillis <= worker.earliestDepartureMillis() + lingerMillis;
    }
}
