package org.hyssoprouter.internal.workflow;

import java.util.List;
import org.hyssoprouter.lib.workflow.RunReport;

/** Handles runs that are over without a reported end: lost with their worker, or unreported. */
final class LostRuns {
    private final PoolState mState;
    private final CrashTracker mCrashes;

    LostRuns(PoolState state) {
        mState = state;
        mCrashes = new CrashTracker(state);
    }

    /**
     * Switches to the incarnation of a worker that its entry names. Orders to the former one may
     * have reached it, in which case its first report decides which runs are lost.
     */
    void handleListedIncarnation(PoolWorker worker, long incarnationMillis, long nowMillis) {
        List<Task> tasks = worker.tasks();
        boolean awaitsReport = tasks.stream().anyMatch(Task::mayReachNextIncarnation);
        if (!begin(worker, incarnationMillis, "list", nowMillis)) {
            return;
        }
        worker.mAwaitsFirstReport = awaitsReport;
        List<Task> lost =
                awaitsReport ? tasks.stream().filter(it -> !it.isStartSent()).toList() : tasks;
        handle(worker, lost, WorkerLoss.RESTART, nowMillis);
    }

    /**
     * Switches to an incarnation of a worker that has sent its first report, which {@link
     * #handleUnreported(PoolWorker, List, RunReport, long, long)} evaluates.
     */
    void handleReportedIncarnation(PoolWorker worker, long incarnationMillis, long nowMillis) {
        worker.mAwaitsFirstReport = begin(worker, incarnationMillis, "report", nowMillis);
    }

    /** Switches to an incarnation. Returns whether the worker had a former one. */
    private boolean begin(
            PoolWorker worker, long incarnationMillis, String source, long nowMillis) {
        long formerMillis = worker.mIncarnationMillis;
        // Of several restarts before a report, each may have ended the runs.
        worker.mFormerNotLeft =
                mState.mWorkerList.hasNotLeft(worker, nowMillis)
                        && (!worker.mAwaitsFirstReport || worker.mFormerNotLeft);
        worker.beginIncarnation(incarnationMillis, nowMillis);
        if (formerMillis == 0) {
            return false;
        }
        List<Task> tasks = worker.tasks();
        mState.mOutput.recordDecision(
                worker.mId,
                "worker restarted",
                "born=%d former=%d source=%s runs=%d listed=%d"
                        .formatted(
                                incarnationMillis,
                                formerMillis,
                                source,
                                tasks.size(),
                                tasks.stream().filter(Task::wasListed).count()));
        worker.mProcessedSequence = 0;
        worker.mClock.reset();
        mState.mWaitingSteps.forEach(step -> step.mApprovals.dropTicket(worker.mId));
        tasks.forEach(Task::resetForIncarnation);
        return true;
    }

    /** Requeues all tasks on a worker whose runs are lost. */
    void handleAll(PoolWorker worker, WorkerLoss loss, long nowMillis) {
        handle(worker, worker.tasks(), loss, nowMillis);
    }

    private void handle(PoolWorker worker, List<Task> tasks, WorkerLoss loss, long nowMillis) {
        mCrashes.recordLoss(worker, tasks, loss, nowMillis);
        mState.mOutput.addLostRuns(loss.cause(), tasks.size());
        for (Task task : tasks) {
            task.mStep.mApprovals.dropTicket(worker.mId);
            mState.mOutput.recordDecision(
                    task.mKey,
                    "run lost",
                    "worker=%s run=%d %s; %s; %s"
                            .formatted(
                                    worker,
                                    task.mRun,
                                    loss.reason(),
                                    describe(task, nowMillis),
                                    mState.describeKnowledge(worker, nowMillis)));
            mState.abortGang(task, "member lost", nowMillis);
            if (loss.restarted() && task.mayStartLate()) {
                // Once the new incarnation has acknowledged a stop, it rejects a late start.
                stopLateStart(task, nowMillis);
            } else {
                mState.requeue(task, nowMillis);
            }
            // Otherwise a new owner would wait for the worker's leases to expire once more.
            mState.mOutput.markChanged(task.mStep.mWorkflow);
        }
    }

    private void stopLateStart(Task task, long nowMillis) {
        if (task.mPhase == Task.Phase.DONE) {
            mState.repeatStop(task, nowMillis);
        } else {
            mState.stopRun(task, "start may be carried out late", nowMillis);
        }
    }

    /** Returns what is known about the current run of a task, for the log. */
    private static String describe(Task task, long nowMillis) {
        return "%s for %d ms, start %s, %s"
                .formatted(
                        task.mPhase,
                        nowMillis - task.mPhaseMillis,
                        task.mayHaveBegun() ? "sent" : "not sent",
                        task.wasListed() ? "listed" : "not listed by this incarnation");
    }

    /**
     * Handles the tasks on a worker whose runs are missing from a report.
     *
     * @param sentMillis time at which the report was requested, in milliseconds
     */
    void handleUnreported(
            PoolWorker worker,
            List<Task> tasks,
            RunReport report,
            long sentMillis,
            long nowMillis) {
        if (report.truncated()) {
            // Each of them may have ended, too.
            logTruncated(worker, tasks, report);
        } else if (worker.mAwaitsFirstReport) {
            worker.mAwaitsFirstReport = false;
            List<Task> lost =
                    tasks.stream().filter(it -> !it.mayHaveStartedSince(sentMillis)).toList();
            handle(worker, lost, WorkerLoss.RESTART, nowMillis);
        } else {
            tasks.forEach(task -> handleUnreported(task, report, sentMillis, nowMillis));
        }
    }

    /**
     * Handles a run that is missing from a report requested at {@code sentMillis}. Only a report
     * requested after the start, or after the acknowledged stop, proves that the run is gone.
     */
    private void handleUnreported(Task task, RunReport report, long sentMillis, long nowMillis) {
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
                if (task.hasWorkerRestarted()) {
                    mCrashes.recordFormerRestart(task, nowMillis);
                    mState.mOutput.markChanged(task.mStep.mWorkflow);
                }
                mState.requeue(task, nowMillis);
            }
            case DONE -> {
                if (!task.isStopOrdered() || task.isStopConfirmedBefore(sentMillis)) {
                    mState.releaseWorker(task, nowMillis);
                }
            }
            default -> {}
        }
    }

    private void logTruncated(PoolWorker worker, List<Task> tasks, RunReport report) {
        mState.mOutput.recordDecision(
                worker.mId,
                "report truncated",
                "%d runs and %d ends listed, %d runs not yet"
                        .formatted(report.running().size(), report.ended().size(), tasks.size()));
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
