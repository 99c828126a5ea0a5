package org.hyssoprouter.internal.workflow;

import java.util.List;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Counts the crashes of workers by the tasks that may have caused them, and ends workflows whose
 * tasks crash one worker after another.
 *
 * <p>A crash alone does not tell which of the runs on the worker caused it. Those that had just
 * started become suspects. A suspect runs on trial: nothing else starts on its worker until it has
 * run for a while (see {@link TrialPlacement}). A crash during the trial of a single step is
 * conclusive.
 */
final class CrashTracker {
    /** Time for which a run must be reported before a crash is not blamed on it any more. */
    static final long TRIAL_MILLIS = 500;

    /** Duration of a run that clears its task of earlier crashes. */
    static final long SOUND_RUN_MILLIS = 60_000;

    /** Number of crashes after which a workflow ends if the last one was conclusive. */
    static final int MAX_CONCLUSIVE_CRASHES = 3;

    /** Number of crashes after which a workflow ends in any case. */
    static final int MAX_CRASHES = 4;

    private final PoolState mState;

    CrashTracker(PoolState state) {
        mState = state;
    }

    /**
     * Records the loss of a worker's runs, before they are requeued. A worker that was draining has
     * not crashed, nor has a listed one that is merely silent.
     */
    void recordLoss(PoolWorker worker, List<Task> lost, WorkerLoss loss, long nowMillis) {
        boolean crashed = !worker.entry().draining() && (loss.certain() || !worker.mListed);
        if (!crashed) {
            return;
        }
        List<Task> begun = lost.stream().filter(Task::mayHaveBegun).toList();
        List<Task> recent = begun.stream().filter(it -> !it.hasPassedTrial()).toList();
        boolean conclusive = loss.certain() && isSeparateTrial(recent);
        String evidence = "%s; listed=%s".formatted(loss.reason(), worker.mListed);
        blame(recent.isEmpty() ? begun : recent, worker, conclusive, evidence, nowMillis);
    }

    /** Returns whether only one step had recent runs, and some of them were on trial. */
    private static boolean isSeparateTrial(List<Task> recent) {
        return recent.stream().anyMatch(Task::isOnTrial)
                && recent.stream().map(it -> it.mStep.mKey).distinct().count() == 1;
    }

    private void blame(
            List<Task> tasks,
            PoolWorker worker,
            boolean conclusive,
            String evidence,
            long nowMillis) {
        for (Task task : tasks) {
            task.mCrashes++;
            Workflow workflow = task.mStep.mWorkflow;
            mState.mOutput.markChanged(workflow);
            mState.mOutput.recordDecision(
                    task.mKey,
                    "crash suspected",
                    "worker=%s run=%d crashes=%d suspects=%d conclusive=%s; %s"
                            .formatted(
                                    worker,
                                    task.mRun,
                                    task.mCrashes,
                                    tasks.size(),
                                    conclusive,
                                    evidence));
            int limit = conclusive ? MAX_CONCLUSIVE_CRASHES : MAX_CRASHES;
            if (task.mCrashes >= limit && !workflow.mState.isFinal()) {
                String reason =
                        "%d workers crashed while task %s ran, the last was %s"
                                .formatted(task.mCrashes, task.mKey, worker);
                mState.mOutput.addGivenUp(workflow, reason);
                mState.finishWorkflow(workflow, WorkflowState.FAILED, reason, nowMillis);
            }
        }
    }
}
