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
    static final long TURNED_AWAY_MILLIS = 1_000;

    private final PoolState mState;
    private final WorkerTrust mTrust;

    RunTracker(PoolState state, WorkerTrust trust) {
        mState = state;
        mTrust = trust;
    }

    /** Takes in the answer to a start; returns false if another owner has replaced this one. */
    boolean started(TaskStart order, StartOutcome outcome, long nowMillis) {
        Task task = mState.find(order.task());
        if (outcome == StartOutcome.FENCED) {
            return false;
        }
        if (task == null || task.mRun != order.run() || task.mWorker == null) {
            return true;
        }
        if (outcome == StartOutcome.ACCEPTED) {
            accepted(task, nowMillis);
            return true;
        }
        if (outcome == StartOutcome.UNKNOWN && task.mPhase == Task.Phase.RUNNING) {
            // A report has settled what the lost answer left open.
            return true;
        }
        mState.mEffects.decided(
                task.mKey, "start not accepted", "worker=" + order.workerId() + " " + outcome);
        if (outcome == StartOutcome.UNKNOWN) {
            mState.stop(task, "start unanswered", nowMillis);
        } else if (task.mPhase == Task.Phase.PLACED || task.mPhase == Task.Phase.STOPPING) {
            turnedAway(task, task.mWorker, outcome, nowMillis);
        }
        abortGang(task, "member not started", nowMillis);
        return true;
    }

    private void accepted(Task task, long nowMillis) {
        if (task.mPhase != Task.Phase.PLACED) {
            return;
        }
        running(task, nowMillis);
    }

    private void running(Task task, long nowMillis) {
        task.begin(nowMillis);
        Workflow workflow = task.mStep.mWorkflow;
        if (workflow.mState == WorkflowState.PENDING) {
            workflow.mState = WorkflowState.ACTIVE;
            mState.mEffects.changed(workflow);
        }
    }

    private void turnedAway(Task task, PoolWorker worker, StartOutcome outcome, long nowMillis) {
        switch (outcome) {
            case NO_TICKET -> task.mStep.mApprovals.dropTicket(worker.mId);
            case INVALID -> task.mFailedOn.add(worker.mId);
            case OLD_RUN -> {}
            default -> worker.mAvoidUntilMillis = nowMillis + TURNED_AWAY_MILLIS;
        }
        requeue(task, nowMillis);
    }

    /** Takes in the answer to a stop. */
    void stopped(TaskStop order, boolean acknowledged, long nowMillis) {
        Task task = mState.find(order.task());
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
    long reported(PoolWorker worker, RunReport report, long sentMillis, long nowMillis) {
        if (worker.isNewLife(report.bornMillis())) {
            newLife(worker, report.bornMillis(), nowMillis);
        }
        if (report.bornMillis() != worker.mBornMillis) {
            return worker.mSeenThrough;
        }
        worker.mClock.read(report.clockMillis(), nowMillis);
        worker.mContactMillis = nowMillis;
        for (RunReport.Ended end : report.ended()) {
            if (end.sequence() > worker.mSeenThrough) {
                worker.mSeenThrough = end.sequence();
                ended(worker, end, nowMillis);
            }
        }
        Map<TaskKey, RunReport.Running> running = new HashMap<>();
        report.running().forEach(run -> running.put(run.task(), run));
        boolean strays = false;
        for (RunReport.Running run : report.running()) {
            strays |= !seen(worker, run, nowMillis);
        }
        if (strays) {
            // A run that the ledger does not hold takes an unknown part of the room.
            worker.mAvoidUntilMillis =
                    Math.max(worker.mAvoidUntilMillis, nowMillis + TURNED_AWAY_MILLIS);
        }
        for (Task task : worker.tasks()) {
            if (!running.containsKey(task.mKey)) {
                absent(task, sentMillis, nowMillis);
            }
        }
        return worker.mSeenThrough;
    }

    /** Drops what a former life of a worker ran. */
    void newLife(PoolWorker worker, long bornMillis, long nowMillis) {
        boolean first = worker.mBornMillis == 0;
        worker.beginLife(bornMillis);
        if (first) {
            return;
        }
        mState.mEffects.decided(worker.mId, "worker restarted", "born=" + bornMillis);
        worker.mSeenThrough = 0;
        worker.mClock.reset();
        lost(worker, "worker restarted", nowMillis);
    }

    /** Queues again everything that a worker ran. */
    void lost(PoolWorker worker, String reason, long nowMillis) {
        for (Task task : worker.tasks()) {
            task.mStep.mApprovals.dropTicket(worker.mId);
            mState.mEffects.decided(
                    task.mKey, "run lost", "worker=" + worker + " run=" + task.mRun + " " + reason);
            abortGang(task, "member lost", nowMillis);
            requeue(task, nowMillis);
        }
    }

    private boolean seen(PoolWorker worker, RunReport.Running run, long nowMillis) {
        Task task = worker.task(run.task());
        if (task == null || task.mRun != run.run()) {
            mState.sendStop(worker, run.task(), run.run(), "not placed here");
            return false;
        }
        task.mStep.saved(task, run.checkpoint());
        if (task.mStep.mWorkflow.mState.isFinal() && task.mPhase != Task.Phase.STOPPING) {
            mState.stop(task, "workflow is over", nowMillis);
        }
        if (task.mPhase == Task.Phase.PLACED || task.mPhase == Task.Phase.INHERITED) {
            running(task, nowMillis);
        }
        task.progressed(run.percent(), nowMillis);
        return true;
    }

    private void absent(Task task, long sentMillis, long nowMillis) {
        switch (task.mPhase) {
            case RUNNING -> {
                if (task.mPhaseMillis < sentMillis) {
                    mState.mEffects.decided(task.mKey, "run missing", "worker=" + task.mWorker);
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
            case DONE -> task.leaveWorker(nowMillis);
            default -> {}
        }
    }

    private void ended(PoolWorker worker, RunReport.Ended end, long nowMillis) {
        Task held = worker.task(end.task());
        Task task = held == null ? mState.find(end.task()) : held;
        if (task == null) {
            return;
        }
        Workflow workflow = task.mStep.mWorkflow;
        boolean current = task.mRun == end.run() && worker.equals(task.mWorker);
        if (workflow.mState.isFinal() || task.mPhase == Task.Phase.DONE) {
            if (current) {
                task.leaveWorker(nowMillis);
            }
            return;
        }
        mState.mEffects.decided(
                task.mKey,
                "run ended",
                "worker=" + worker + " run=" + end.run() + " " + end.kind());
        boolean done = end.kind() == EndKind.DONE && !task.mStep.mSpec.habits().longRunning();
        if (done) {
            mTrust.succeeded(worker);
            complete(task, current, nowMillis);
        } else if (current) {
            mState.mEffects.changed(workflow);
            task.mStep.saved(task, end.checkpoint());
            endedEarly(task, worker, end, nowMillis);
        }
    }

    private void endedEarly(Task task, PoolWorker worker, RunReport.Ended end, long nowMillis) {
        Workflow workflow = task.mStep.mWorkflow;
        if (end.kind() == EndKind.FAILED) {
            mTrust.failed(worker, task, nowMillis);
            if (usedUp(task, end.run())) {
                task.leaveWorker(nowMillis);
                mState.finish(
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

    private boolean usedUp(Task task, int run) {
        Step step = task.mStep;
        if (step.mSpec.habits().longRunning()) {
            return false;
        }
        int failures;
        if (step.mSpec.gang()) {
            if (step.mCountedGangRun != run) {
                step.mCountedGangRun = run;
                step.mGangFailures++;
            }
            failures = step.mGangFailures;
        } else {
            failures = ++task.mFailures;
        }
        int limit = mState.policyOf(step.mWorkflow).map(QueuePolicy::maxAttempts).getOrElse(1);
        return failures >= limit;
    }

    private void complete(Task task, boolean current, long nowMillis) {
        Step step = task.mStep;
        if (step.mSpec.gang()) {
            // One end stands for all members; each keeps its room until its own end is listed.
            step.mTasks.forEach(member -> member.enter(Task.Phase.DONE, nowMillis));
        } else if (!current) {
            mState.stop(task, "an earlier run is done", nowMillis);
        }
        task.enter(Task.Phase.DONE, nowMillis);
        if (current) {
            task.leaveWorker(nowMillis);
        }
        Workflow workflow = step.mWorkflow;
        mState.mEffects.changed(workflow);
        if (!step.isDone()) {
            return;
        }
        mState.mWaiting.remove(step);
        step.dropReservations();
        workflow.closeDoneOccurrences();
        if (workflow.isOver()) {
            mState.finish(workflow, WorkflowState.COMPLETE, "all tasks done", nowMillis);
        } else if (workflow.mOccurrences.containsKey(step.mKey.occurrence())) {
            mState.wake(workflow, step.mKey.occurrence(), nowMillis);
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
                mState.stop(member, reason, nowMillis);
            }
        }
    }

    void requeue(Task task, long nowMillis) {
        task.leaveWorker(nowMillis);
        Step step = task.mStep;
        if (task.mPhase == Task.Phase.WAITING && !step.mWorkflow.mState.isFinal()) {
            mState.mWaiting.add(step);
        }
    }
}
