package org.hyssoprouter.internal.workflow;

import java.util.List;
import java.util.function.Predicate;
import org.hyssoprouter.lib.workflow.RunReport;

/** Handles runs that are over without a reported end: lost with their worker, or unreported. */
final class LostRuns {
    private final PoolState mState;
    private final CrashTracker mCrashes;

    LostRuns(PoolState state) {
        mState = state;
        mCrashes = new CrashTracker(state);
    }

    /** Switches to a listed incarnation of a worker and requeues the runs of the previous one. */
    void handleListedIncarnation(PoolWorker worker, long incarnationMillis, long nowMillis) {
        handleNewIncarnation(worker, incarnationMillis, "list", task -> false, nowMillis);
    }

    /**
     * Switches to an incarnation of a worker that has sent a report.
     *
     * @param isListed whether the report lists the current run of a task
     */
    void handleReportedIncarnation(
            PoolWorker worker, long incarnationMillis, Predicate<Task> isListed, long nowMillis) {
        handleNewIncarnation(worker, incarnationMillis, "report", isListed, nowMillis);
    }

    private void handleNewIncarnation(
            PoolWorker worker,
            long incarnationMillis,
            String source,
            Predicate<Task> isActive,
            long nowMillis) {
        long formerMillis = worker.mIncarnationMillis;
        worker.beginIncarnation(incarnationMillis);
        if (formerMillis == 0) {
            return;
        }
        mState.mOutput.recordDecision(
                worker.mId,
                "worker restarted",
                "born=%d former=%d source=%s runs=%d"
                        .formatted(incarnationMillis, formerMillis, source, worker.runCount()));
        worker.mProcessedSequence = 0;
        worker.mClock.reset();
        mState.mWaitingSteps.forEach(step -> step.mApprovals.dropTicket(worker.mId));
        List<Task> lost = worker.tasks().stream().filter(isActive.negate()).toList();
        handle(worker, lost, WorkerLoss.ended("worker restarted"), nowMillis);
    }

    /** Requeues all tasks on a worker whose runs are lost. */
    void handleAll(PoolWorker worker, WorkerLoss loss, long nowMillis) {
        handle(worker, worker.tasks(), loss, nowMillis);
    }

    private void handle(PoolWorker worker, List<Task> tasks, WorkerLoss loss, long nowMillis) {
        mCrashes.recordLoss(worker, tasks, loss, nowMillis);
        for (Task task : tasks) {
            task.mStep.mApprovals.dropTicket(worker.mId);
            mState.mOutput.recordDecision(
                    task.mKey,
                    "run lost",
                    "worker=%s run=%d %s; %s"
                            .formatted(
                                    worker, task.mRun, loss.reason(), describe(task, nowMillis)));
            mState.abortGang(task, "member lost", nowMillis);
            mState.requeue(task, nowMillis);
            // Otherwise a new owner would wait for the worker's leases to expire once more.
            mState.mOutput.markChanged(task.mStep.mWorkflow);
        }
    }

    /** Returns what is known about the current run of a task, for the log. */
    private static String describe(Task task, long nowMillis) {
        return "%s for %d ms, start %s, %s"
                .formatted(
                        task.mPhase,
                        nowMillis - task.mPhaseMillis,
                        task.mayHaveBegun() ? "sent" : "not sent",
                        task.wasListed() ? "was listed" : "never listed");
    }

    /**
     * Handles a run that is missing from a report requested at {@code sentMillis}. Only a report
     * requested after the start, or after the acknowledged stop, proves that the run is gone.
     */
    void handleUnreported(Task task, RunReport report, long sentMillis, long nowMillis) {
        switch (task.mPhase) {
            case RUNNING -> {
                if (task.mPhaseMillis < sentMillis) {
                    logMissing(task, report, nowMillis);
                    mState.abortGang(task, "member missing", nowMillis);
                    mState.requeue(task, nowMillis);
                }
            }
            case STOPPING -> {
                if (task.isStopConfirmedBefore(sentMillis)) {
                    mState.requeue(task, nowMillis);
                }
            }
            case INHERITED -> {
                logMissing(task, report, nowMillis);
                mState.requeue(task, nowMillis);
            }
            case DONE -> {
                if (!task.isStopOrdered() || task.isStopConfirmedBefore(sentMillis)) {
                    task.releaseWorker(nowMillis);
                }
            }
            default -> {}
        }
    }

    private void logMissing(Task task, RunReport report, long nowMillis) {
        mState.mOutput.recordDecision(
                task.mKey,
                "run missing",
                "worker=%s run=%d; %s; report with %d runs and %d ends"
                        .formatted(
                                task.mWorker,
                                task.mRun,
                                describe(task, nowMillis),
                                report.running().size(),
                                report.ended().size()));
    }
}
