package org.hyssoprouter.internal.workflow;

import java.util.List;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Counts the crashes of workers by the tasks that may have caused them, and ends workflows whose
 * tasks crash one worker after another.
 *
 * <p>Only a worker that has certainly ended has crashed: one that is silent, no longer listed or
 * without a lease may still be running. A worker that has left as planned has not crashed either.
 *
 * <p>A crash alone does not tell which of the runs on the worker caused it. Those that had just
 * started become suspects. A suspect runs on trial: nothing else starts on its worker until it has
 * run for a while (see {@link TrialPlacement}). A crash during the trial of a single step is
 * conclusive.
 *
 * <p>Long-running tasks are tried, too, but never end their workflow: they start again however
 * their runs end.
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

    /** Number of crashes that must be proved before a workflow ends. */
    static final int MIN_PROVED_CRASHES = 2;

    private final PoolState mState;

    CrashTracker(PoolState state) {
        mState = state;
    }

    /** Records the loss of a worker's runs, before they are requeued. */
    void recordLoss(PoolWorker worker, List<Task> lost, WorkerLoss loss, long nowMillis) {
        if (!loss.certain() || loss.planned() || worker.entry().draining()) {
            return;
        }
        // The successor under the same identifier may have replaced the entry.
        boolean unplanned =
                loss.restarted()
                        ? worker.mFormerNotLeft
                        : mState.mWorkerList.hasNotLeft(worker, nowMillis);
        List<Task> begun = lost.stream().filter(Task::mayHaveBegun).toList();
        List<Task> recent = begun.stream().filter(it -> !it.hasPassedTrial()).toList();
        Crash crash = new Crash(worker, loss, isSeparateTrial(recent), unplanned);
        for (Task task : recent.isEmpty() ? begun : recent) {
            blame(task, crash, nowMillis);
        }
    }

    /**
     * Records that a worker has started again since a former owner started the run of a task. The
     * worker may have left as planned.
     */
    void recordFormerRestart(Task task, long nowMillis) {
        PoolWorker worker = task.mWorker;
        if (worker != null && task.mayHaveBegun()) {
            blame(task, new Crash(worker, WorkerLoss.RESTART, false, false), nowMillis);
        }
    }

    /**
     * Crash of a worker.
     *
     * @param conclusive whether the runs of a single step are the only possible cause
     * @param unplanned whether the worker has certainly not left as planned
     */
    private record Crash(
            PoolWorker worker, WorkerLoss loss, boolean conclusive, boolean unplanned) {}

    /** Returns whether only one step had recent runs, and some of them were on trial. */
    private static boolean isSeparateTrial(List<Task> recent) {
        return recent.stream().anyMatch(Task::isOnTrial)
                && recent.stream().map(it -> it.mStep.mKey).distinct().count() == 1;
    }

    private void blame(Task task, Crash crash, long nowMillis) {
        // A run that was ordered to stop may have ended before the crash.
        boolean begun =
                task.hasBegun(nowMillis, mState.mLimits.leaseMillis())
                        && task.mPhase != Task.Phase.STOPPING;
        task.recordCrash(crash.worker(), crash.loss().reason(), begun && crash.unplanned());
        Workflow workflow = task.mStep.mWorkflow;
        mState.mOutput.markChanged(workflow);
        mState.mOutput.recordDecision(
                task.mKey,
                "crash suspected",
                "worker=%s run=%d crashes=%d proved=%d conclusive=%s; %s, %s, %s; %s"
                        .formatted(
                                crash.worker(),
                                task.mRun,
                                task.mCrashes,
                                task.mProvedCrashes.size(),
                                crash.conclusive(),
                                crash.loss().reason(),
                                begun ? "begun" : "not known to run",
                                crash.unplanned() ? "not planned" : "may have left as planned",
                                mState.describeKnowledge(crash.worker(), nowMillis)));
        if (task.mStep.mSpec.habits().longRunning()) {
            return;
        }
        int limit = crash.conclusive() ? MAX_CONCLUSIVE_CRASHES : MAX_CRASHES;
        if (task.mCrashes < limit
                || task.mProvedCrashes.size() < MIN_PROVED_CRASHES
                || workflow.mState.isFinal()) {
            return;
        }
        String reason =
                "%d workers crashed while task %s ran: %s"
                        .formatted(
                                task.mProvedCrashes.size(),
                                task.mKey,
                                String.join(", ", task.mProvedCrashes));
        mState.mOutput.addGivenUp(workflow, reason);
        mState.finishWorkflow(workflow, WorkflowState.FAILED, reason, nowMillis);
    }
}
