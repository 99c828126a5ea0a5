package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowState;

/** Tracks the runs of tasks from start to end, based on the replies and reports of workers. */
final class RunTracker {
    /**
     * Time for which a worker receives no new runs after it rejected a start or reported an unknown
     * run.
     */
    static final long REJECTION_PAUSE_MILLIS = 1_000;

    private final PoolState mState;
    private final WorkerHealthTracker mHealth;
    private final LostRuns mLostRuns;
    private final AttemptLimits mAttempts;

    RunTracker(
            PoolState state,
            WorkerHealthTracker health,
            LostRuns lostRuns,
            AttemptLimits attempts) {
        mState = state;
        mHealth = health;
        mLostRuns = lostRuns;
        mAttempts = attempts;
    }

    /**
     * Processes the outcome of a start order. Returns false if the worker has accepted orders of a
     * newer owner.
     */
    boolean handleStartOutcome(TaskStart order, StartOutcome outcome, long nowMillis) {
        Task task = mState.findTask(order.task());
        if (outcome == StartOutcome.FENCED) {
            return false;
        }
        if (task == null || task.mRun != order.run() || task.mWorker == null) {
            return true;
        }
        if (outcome == StartOutcome.UNKNOWN) {
            task.markAttemptUnanswered();
        } else {
            task.recordStartAnswer(nowMillis);
        }
        if (outcome == StartOutcome.ACCEPTED) {
            task.markBegun();
            if (task.isSuspect()) {
                // The next owner must know that the run has begun if its worker crashes.
                mState.mOutput.markChanged(task.mStep.mWorkflow);
            }
            handleAcceptedStart(task, nowMillis);
            return true;
        }
        if (outcome == StartOutcome.UNKNOWN && task.mPhase == Task.Phase.RUNNING) {
            // A report has already confirmed the start.
            return true;
        }
        String inputs =
                "worker=%s %s; placed %d ms ago, %s, now %d"
                        .formatted(
                                order.workerId(),
                                outcome,
                                nowMillis - task.mPhaseMillis,
                                lastReport(task.mWorker),
                                nowMillis);
        mState.mOutput.recordDecision(task.mKey, "start not accepted", inputs);
        if (outcome == StartOutcome.UNKNOWN) {
            mState.stopRun(task, "start not answered", nowMillis);
        } else if (task.mPhase == Task.Phase.PLACED || task.mPhase == Task.Phase.STOPPING) {
            handleRejectedStart(task, task.mWorker, outcome, nowMillis);
        }
        mState.abortGang(task, "member not started", nowMillis);
        return true;
    }

    private static String lastReport(PoolWorker worker) {
        return worker.mLastReportMillis == PoolWorker.NO_REPORT
                ? "no report yet"
                : "last report at " + worker.mLastReportMillis;
    }

    private void handleAcceptedStart(Task task, long nowMillis) {
        if (task.mPhase != Task.Phase.PLACED) {
            return;
        }
        markRunning(task, nowMillis);
    }

    private void markRunning(Task task, long nowMillis) {
        PoolWorker worker = task.mWorker;
        boolean isFresh = task.mPhase == Task.Phase.PLACED;
        if (worker != null && isFresh) {
            mState.mProgress.accrue(worker, nowMillis);
        }
        task.markRunning(nowMillis);
        if (isFresh) {
            mState.mProgress.begin(task, nowMillis);
        }
        recordBegun(task.mStep);
    }

    /** Records that a worker has begun a run. The members of a gang begin once all are present. */
    private static void recordBegun(Step step) {
        if (!step.mSpec.gang() || step.count(Task.Phase.RUNNING) == step.mSpec.taskCount()) {
            step.mWorkflow.mBegun = true;
        }
    }

    private void handleRejectedStart(
            Task task, PoolWorker worker, StartOutcome outcome, long nowMillis) {
        switch (outcome) {
            case NO_TICKET -> task.mStep.mApprovals.dropTicket(worker.mId);
            case INVALID -> task.mFailedWorkers.add(worker.mId);
            case OLD_RUN -> {}
            case NOT_SENT -> excludeIfUnreachable(task, worker);
            default -> worker.mExcludedUntilMillis = nowMillis + REJECTION_PAUSE_MILLIS;
        }
        mState.requeue(task, nowMillis);
    }

    /**
     * Excludes a worker that a start did not reach, unless it has reported since the placement: the
     * delay was then on this side.
     */
    private static void excludeIfUnreachable(Task task, PoolWorker worker) {
        if (task.mPhase == Task.Phase.PLACED && worker.mLastReportMillis <= task.mPhaseMillis) {
            worker.excludeUntilReport();
        }
    }

    /** Processes the reply to a stop order that was sent at {@code sentMillis}. */
    void handleStopReply(TaskStop order, boolean acknowledged, long sentMillis, long nowMillis) {
        // The occurrence of a completed task may be closed while a run of it still has room.
        PoolWorker worker = mState.mWorkers.get(order.workerId());
        // The reply to an order from before a restart may come from the former incarnation.
        if (worker == null || !acknowledged || sentMillis < worker.restartKnownMillis()) {
            return;
        }
        Task task = worker.task(order.task());
        if (task == null || task.mRun != order.run()) {
            return;
        }
        if (task.isStopOrdered() && task.mStopAckMillis == 0) {
            task.mStopAckMillis = nowMillis;
        }
    }

    /**
     * Processes a report of a worker.
     *
     * @param sentMillis time at which the report was requested, in milliseconds
     * @return sequence number of the last processed end
     */
    long handleReport(PoolWorker worker, RunReport report, long sentMillis, long nowMillis) {
        Map<TaskKey, RunReport.Running> running = new HashMap<>();
        report.running().forEach(run -> running.put(run.task(), run));
        if (worker.isNewIncarnation(report.incarnationMillis())) {
            mLostRuns.handleReportedIncarnation(worker, report.incarnationMillis(), nowMillis);
        }
        if (report.incarnationMillis() != worker.mIncarnationMillis) {
            return worker.mProcessedSequence;
        }
        worker.mClock.recordReading(report.clockMillis(), nowMillis);
        worker.mLastReportMillis = nowMillis;
        mState.mProgress.accrue(worker, nowMillis);
        boolean wasSlow = worker.mSpeed.isSlow(nowMillis);
        for (RunReport.Ended end : report.ended()) {
            if (end.sequence() > worker.mProcessedSequence) {
                worker.mProcessedSequence = end.sequence();
                handleEnd(worker, end, nowMillis);
            }
        }
        boolean unknownRuns = false;
        for (RunReport.Running run : report.running()) {
            unknownRuns |= !handleReportedRun(worker, run, report.clockMillis(), nowMillis);
        }
        logSpeedChange(worker, wasSlow, nowMillis);
        if (unknownRuns) {
            // A run without an allocation here uses an unknown amount of room.
            worker.mExcludedUntilMillis =
                    Math.max(worker.mExcludedUntilMillis, nowMillis + REJECTION_PAUSE_MILLIS);
        }
        List<Task> unreported =
                worker.tasks().stream().filter(it -> !running.containsKey(it.mKey)).toList();
        mLostRuns.handleUnreported(worker, unreported, report, sentMillis, nowMillis);
        return worker.mProcessedSequence;
    }

    /** Updates the task of a reported run. Returns false if the run has no allocation here. */
    private boolean handleReportedRun(
            PoolWorker worker, RunReport.Running run, long workerMillis, long nowMillis) {
        Task task = worker.task(run.task());
        if (task == null || task.mRun != run.run()) {
            mState.sendStop(worker, run.task(), run.run(), "run not placed on this worker");
            return false;
        }
        task.recordListed(workerMillis);
        task.mStep.saveCheckpoint(task, run.checkpoint());
        if (task.mStep.mWorkflow.mState.isFinal() && task.mPhase != Task.Phase.STOPPING) {
            mState.stopRun(task, "workflow has ended", nowMillis);
        }
        if (task.mPhase == Task.Phase.PLACED || task.mPhase == Task.Phase.INHERITED) {
            markRunning(task, nowMillis);
        }
        if (task.isInheritedSurplus()) {
            mState.repeatStop(task, nowMillis);
        }
        task.recordProgress(run.percent(), nowMillis);
        mState.mProgress.recordProgress(worker, task, run.percent(), nowMillis);
        recordSpeed(worker, task, task.projectedMillis(nowMillis), nowMillis);
        return true;
    }

    private void recordSpeed(PoolWorker worker, Task task, long millis, long nowMillis) {
        boolean expected =
                mState.mDurations.isKnown(task.mStep)
                        && !task.mStep.mSpec.habits().longRunning()
                        && !task.mStep.mSpec.habits().fills();
        if (millis <= 0 || !expected) {
            return;
        }
        double ratio = (double) millis / Math.max(1, mState.mDurations.taskMillis(task.mStep));
        worker.mSpeed.record(task.mKey, ratio, nowMillis);
    }

    private void logSpeedChange(PoolWorker worker, boolean wasSlow, long nowMillis) {
        boolean isSlow = worker.mSpeed.isSlow(nowMillis);
        if (wasSlow != isSlow) {
            mState.mOutput.recordDecision(
                    worker.mId,
                    isSlow ? "worker is slow" : "worker is no longer slow",
                    worker.mSpeed.describeLast());
        }
    }

    /** Processes an ended run. Ends of earlier runs only matter if they completed the task. */
    private void handleEnd(PoolWorker worker, RunReport.Ended end, long nowMillis) {
        Task allocated = worker.task(end.task());
        Task task = allocated == null ? mState.findTask(end.task()) : allocated;
        if (task == null) {
            return;
        }
        Workflow workflow = task.mStep.mWorkflow;
        boolean isCurrentRun = task.mRun == end.run() && worker.equals(task.mWorker);
        if (workflow.mState.isFinal() || task.mPhase == Task.Phase.DONE) {
            if (isCurrentRun) {
                mState.releaseWorker(task, nowMillis);
            }
            return;
        }
        mState.mOutput.recordDecision(
                task.mKey,
                "run ended",
                "worker=" + worker + " run=" + end.run() + " " + end.kind());
        // A member of a gang may have waited for the others in vain.
        if (!task.mStep.mSpec.gang() || end.kind() == EndKind.FAILED) {
            workflow.mBegun = true;
        }
        boolean completed = end.kind() == EndKind.DONE && !task.mStep.mSpec.habits().longRunning();
        if (completed) {
            mHealth.recordSuccess(worker);
            if (isCurrentRun && task.mPhase == Task.Phase.RUNNING && task.mRun == 1) {
                long millis = nowMillis - task.mPhaseMillis;
                recordSpeed(worker, task, millis, nowMillis);
                mState.mDurations.recordRun(workflow.mSpec.queue(), millis);
                mState.mProgress.recordCompletion(worker, task, nowMillis);
            }
            completeTask(task, isCurrentRun, nowMillis);
        } else if (isCurrentRun) {
            mState.mOutput.markChanged(workflow);
            task.mStep.saveCheckpoint(task, end.checkpoint());
            handleIncompleteEnd(task, worker, end, nowMillis);
        }
    }

    /** Requeues the task of a run that ended before completion, or fails its workflow. */
    private void handleIncompleteEnd(
            Task task, PoolWorker worker, RunReport.Ended end, long nowMillis) {
        if (end.kind() == EndKind.FAILED) {
            mHealth.recordFailure(worker, task, nowMillis);
            if (mAttempts.recordFailure(task, end.run())) {
                task.releaseWorker(nowMillis);
                mAttempts.end(
                        task, ", last on %s in run %d".formatted(worker, end.run()), nowMillis);
                return;
            }
        }
        mState.abortGang(task, "member ended " + end.kind(), nowMillis);
        mState.requeue(task, nowMillis);
    }

    /** Marks a task, or its whole gang, as done and queues the steps that depend on it. */
    private void completeTask(Task task, boolean isCurrentRun, long nowMillis) {
        Step step = task.mStep;
        if (step.mSpec.gang()) {
            if (!isCurrentRun) {
                step.mTasks.forEach(
                        member ->
                                mState.stopRun(member, "an earlier run has completed", nowMillis));
            }
            // The end of one member completes the gang; each member keeps its room until its own
            // run is no longer reported.
            step.completeAll(nowMillis);
        } else if (!isCurrentRun) {
            mState.stopRun(task, "an earlier run has completed", nowMillis);
        }
        task.setPhase(Task.Phase.DONE, nowMillis);
        if (isCurrentRun) {
            task.releaseWorker(nowMillis);
        }
        Workflow workflow = step.mWorkflow;
        mState.mOutput.markChanged(workflow);
        if (!step.isDone()) {
            return;
        }
        mState.removeWaiting(step);
        step.releaseReservations();
        finishStep(step, nowMillis);
    }

    /** Queues the steps that depend on a step that is done, or closes its occurrence. */
    private void finishStep(Step step, long nowMillis) {
        Workflow workflow = step.mWorkflow;
        Occurrence occurrence = workflow.mOccurrences.get(step.mKey.occurrence());
        if (occurrence == null) {
            return;
        }
        int number = step.mKey.step();
        occurrence.markDone(number);
        workflow.mOccurrences.closeIfDone(occurrence);
        if (workflow.isComplete()) {
            mState.finishWorkflow(
                    workflow, WorkflowState.COMPLETE, "all tasks completed", nowMillis);
            return;
        }
        StepGraph graph = workflow.graph();
        int[] ready =
                graph.successorsOf(number)
                        .filter(it -> graph.isReady(it, occurrence.doneSteps()))
                        .distinct()
                        .toArray();
        mState.queueReadySteps(occurrence, ready, nowMillis);
        mState.releaseIfDone(step);
    }
}
