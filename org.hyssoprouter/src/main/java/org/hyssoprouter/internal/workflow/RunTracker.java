package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowState;

/** Follows runs from their start to their end, by the answers and reports of workers. */
final class RunTracker {
    /** Time for which a worker gets nothing new after it turned a start away. */
    static final long REJECTION_PAUSE_MILLIS = 1_000;

    private final PoolState mState;
    private final WorkerHealthTracker mHealth;

    RunTracker(PoolState state, WorkerHealthTracker trust) {
        mState = state;
        mHealth = trust;
    }

    /** Takes in the answer to a start; returns false if another owner has replaced this one. */
    boolean handleStartOutcome(TaskStart order, StartOutcome outcome, long nowMillis) {
        Task task = mState.findTask(order.task());
        if (outcome == StartOutcome.FENCED) {
            return false;
        }
        if (task == null || task.mRun != order.run() || task.mWorker == null) {
            return true;
        }
        if (outcome == StartOutcome.ACCEPTED) {
            handleAcceptedStart(task, nowMillis);
            return true;
        }
        if (outcome == StartOutcome.UNKNOWN && task.mPhase == Task.Phase.RUNNING) {
            // A report has settled what the lost answer left open.
            return true;
        }
        mState.mOutput.recordDecision(
                task.mKey, "start not accepted", "worker=" + order.workerId() + " " + outcome);
        if (outcome == StartOutcome.UNKNOWN) {
            mState.stopRun(task, "start unanswered", nowMillis);
        } else if (task.mPhase == Task.Phase.PLACED || task.mPhase == Task.Phase.STOPPING) {
            handleRejectedStart(task, task.mWorker, outcome, nowMillis);
        }
        abortGang(task, "member not started", nowMillis);
        return true;
    }

    private void handleAcceptedStart(Task task, long nowMillis) {
        if (task.mPhase != Task.Phase.PLACED) {
            return;
        }
        markRunning(task, nowMillis);
    }

    private void markRunning(Task task, long nowMillis) {
        task.markRunning(nowMillis);
        Workflow workflow = task.mStep.mWorkflow;
        if (workflow.mState == WorkflowState.PENDING) {
            workflow.mState = WorkflowState.ACTIVE;
            mState.mOutput.markChanged(workflow);
        }
    }

    private void handleRejectedStart(
            Task task, PoolWorker worker, StartOutcome outcome, long nowMillis) {
        switch (outcome) {
            case NO_TICKET -> task.mStep.mApprovals.dropTicket(worker.mId);
            case INVALID -> task.mFailedWorkers.add(worker.mId);
            case OLD_RUN -> {}
            default -> worker.mExcludedUntilMillis = nowMillis + REJECTION_PAUSE_MILLIS;
        }
        requeue(task, nowMillis);
    }

    /** Takes in the answer to a stop. */
    void handleStopReply(TaskStop order, boolean acknowledged, long nowMillis) {
        Task task = mState.findTask(order.task());
        if (task == null || task.mRun != order.run() || !acknowledged) {
            return;
        }
        if (task.mPhase == Task.Phase.STOPPING && task.mStopAckMillis == 0) {
            task.mStopAckMillis = nowMillis;
        }
    }

    /**
     * Takes in a worker's report.
     *
     * @param sentMillis when the report was asked for
     * @return sequence of the last end that was taken in
     */
    long handleReport(PoolWorker worker, RunReport report, long sentMillis, long nowMillis) {
        if (worker.isNewIncarnation(report.incarnationMillis())) {
            handleNewIncarnation(worker, report.incarnationMillis(), nowMillis);
        }
        if (report.incarnationMillis() != worker.mIncarnationMillis) {
            return worker.mProcessedSequence;
        }
        worker.mClock.recordReading(report.clockMillis(), nowMillis);
        worker.mLastReportMillis = nowMillis;
        for (RunReport.Ended end : report.ended()) {
            if (end.sequence() > worker.mProcessedSequence) {
                worker.mProcessedSequence = end.sequence();
                handleEnd(worker, end, nowMillis);
            }
        }
        Map<TaskKey, RunReport.Running> running = new HashMap<>();
        report.running().forEach(run -> running.put(run.task(), run));
        boolean strays = false;
        for (RunReport.Running run : report.running()) {
            strays |= !handleReportedRun(worker, run, nowMillis);
        }
        if (strays) {
            // A run that the ledger does not hold takes an unknown part of the room.
            worker.mExcludedUntilMillis =
                    Math.max(worker.mExcludedUntilMillis, nowMillis + REJECTION_PAUSE_MILLIS);
        }
        for (Task task : worker.tasks()) {
            if (!running.containsKey(task.mKey)) {
                handleUnreportedRun(task, sentMillis, nowMillis);
            }
        }
        return worker.mProcessedSequence;
    }

    /** Drops what a former life of a worker ran. */
    void handleNewIncarnation(PoolWorker worker, long bornMillis, long nowMillis) {
        boolean first = worker.mIncarnationMillis == 0;
        worker.beginIncarnation(bornMillis);
        if (first) {
            return;
        }
        mState.mOutput.recordDecision(worker.mId, "worker restarted", "born=" + bornMillis);
        worker.mProcessedSequence = 0;
        worker.mClock.reset();
        handleLostRuns(worker, "worker restarted", nowMillis);
    }

    /** Queues again everything that a worker ran. */
    void handleLostRuns(PoolWorker worker, String reason, long nowMillis) {
        for (Task task : worker.tasks()) {
            task.mStep.mApprovals.dropTicket(worker.mId);
            mState.mOutput.recordDecision(
                    task.mKey, "run lost", "worker=" + worker + " run=" + task.mRun + " " + reason);
            abortGang(task, "member lost", nowMillis);
            requeue(task, nowMillis);
        }
    }

    private boolean handleReportedRun(PoolWorker worker, RunReport.Running run, long nowMillis) {
        Task task = worker.task(run.task());
        if (task == null || task.mRun != run.run()) {
            mState.sendStop(worker, run.task(), run.run(), "not placed here");
            return false;
        }
        task.mStep.saveCheckpoint(task, run.checkpoint());
        if (task.mStep.mWorkflow.mState.isFinal() && task.mPhase != Task.Phase.STOPPING) {
            mState.stopRun(task, "workflow is over", nowMillis);
        }
        if (task.mPhase == Task.Phase.PLACED || task.mPhase == Task.Phase.INHERITED) {
            markRunning(task, nowMillis);
        }
        task.recordProgress(run.percent(), nowMillis);
        return true;
    }

    private void handleUnreportedRun(Task task, long sentMillis, long nowMillis) {
        switch (task.mPhase) {
            case RUNNING -> {
                if (task.mPhaseMillis < sentMillis) {
                    mState.mOutput.recordDecision(
                            task.mKey, "run missing", "worker=" + task.mWorker);
                    abortGang(task, "member missing", nowMillis);
                    requeue(task, nowMillis);
                }
            }
            case STOPPING -> {
                if (task.mStopAckMillis > 0 && task.mStopAckMillis < sentMillis) {
                    requeue(task, nowMillis);
                }
            }
            case INHERITED -> requeue(task, nowMillis);
            case DONE -> task.releaseWorker(nowMillis);
            default -> {}
        }
    }

    private void handleEnd(PoolWorker worker, RunReport.Ended end, long nowMillis) {
        Task held = worker.task(end.task());
        Task task = held == null ? mState.findTask(end.task()) : held;
        if (task == null) {
            return;
        }
        Workflow workflow = task.mStep.mWorkflow;
        boolean current = task.mRun == end.run() && worker.equals(task.mWorker);
        if (workflow.mState.isFinal() || task.mPhase == Task.Phase.DONE) {
            if (current) {
                task.releaseWorker(nowMillis);
            }
            return;
        }
        mState.mOutput.recordDecision(
                task.mKey,
                "run ended",
                "worker=" + worker + " run=" + end.run() + " " + end.kind());
        boolean done = end.kind() == EndKind.DONE && !task.mStep.mSpec.habits().longRunning();
        if (done) {
            mHealth.recordSuccess(worker);
            completeTask(task, current, nowMillis);
        } else if (current) {
            mState.mOutput.markChanged(workflow);
            task.mStep.saveCheckpoint(task, end.checkpoint());
            handleIncompleteEnd(task, worker, end, nowMillis);
        }
    }

    private void handleIncompleteEnd(
            Task task, PoolWorker worker, RunReport.Ended end, long nowMillis) {
        Workflow workflow = task.mStep.mWorkflow;
        if (end.kind() == EndKind.FAILED) {
            mHealth.recordFailure(worker, task, nowMillis);
            if (recordFailure(task, end.run())) {
                task.releaseWorker(nowMillis);
                mState.finishWorkflow(
                        workflow,
                        WorkflowState.FAILED,
                        task.mKey + " used its attempts",
                        nowMillis);
                return;
            }
        }
        abortGang(task, "member ended " + end.kind(), nowMillis);
        requeue(task, nowMillis);
    }

    private boolean recordFailure(Task task, int run) {
        Step step = task.mStep;
        if (step.mSpec.habits().longRunning()) {
            return false;
        }
        int failures;
        if (step.mSpec.gang()) {
            if (step.mLastFailedGangRun != run) {
                step.mLastFailedGangRun = run;
                step.mGangFailures++;
            }
            failures = step.mGangFailures;
        } else {
            failures = ++task.mFailures;
        }
        int limit = mState.policyOf(step.mWorkflow).map(QueuePolicy::maxAttempts).getOrElse(1);
        return failures >= limit;
    }

    private void completeTask(Task task, boolean current, long nowMillis) {
        Step step = task.mStep;
        if (step.mSpec.gang()) {
            // One end stands for all members; each keeps its room until its own end is listed.
            step.mTasks.forEach(member -> member.setPhase(Task.Phase.DONE, nowMillis));
        } else if (!current) {
            mState.stopRun(task, "an earlier run is done", nowMillis);
        }
        task.setPhase(Task.Phase.DONE, nowMillis);
        if (current) {
            task.releaseWorker(nowMillis);
        }
        Workflow workflow = step.mWorkflow;
        mState.mOutput.markChanged(workflow);
        if (!step.isDone()) {
            return;
        }
        mState.mWaitingSteps.remove(step);
        step.releaseReservations();
        workflow.closeDoneOccurrences();
        if (workflow.isComplete()) {
            mState.finishWorkflow(workflow, WorkflowState.COMPLETE, "all tasks done", nowMillis);
        } else if (workflow.mOccurrences.containsKey(step.mKey.occurrence())) {
            mState.queueReadySteps(workflow, step.mKey.occurrence(), nowMillis);
        }
    }

    /** Stops the other members of a task's gang; they run together or not at all. */
    void abortGang(Task task, String reason, long nowMillis) {
        if (!task.mStep.mSpec.gang()) {
            return;
        }
        for (Task member : task.mStep.mTasks) {
            boolean up = member.mPhase == Task.Phase.RUNNING || member.mPhase == Task.Phase.PLACED;
            if (!member.equals(task) && up) {
                mState.stopRun(member, reason, nowMillis);
            }
        }
    }

    void requeue(Task task, long nowMillis) {
        task.releaseWorker(nowMillis);
        Step step = task.mStep;
        if (task.mPhase == Task.Phase.WAITING && !step.mWorkflow.mState.isFinal()) {
            mState.mWaitingSteps.add(step);
        }
    }
}
