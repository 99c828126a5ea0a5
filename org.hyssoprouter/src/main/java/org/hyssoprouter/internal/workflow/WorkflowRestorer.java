package org.hyssoprouter.internal.workflow;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** Restores the workflows of a previous owner from their durable rows. */
final class WorkflowRestorer {
    private final PoolState mState;
    private final long mNowMillis;

    WorkflowRestorer(PoolState state, long nowMillis) {
        mState = state;
        mNowMillis = nowMillis;
    }

    /**
     * Restores a workflow.
     *
     * @param acceptedMillis time of the acceptance, in milliseconds
     */
    void restore(WorkflowSpec spec, WorkflowRow row, long acceptedMillis) {
        Workflow workflow = new Workflow(spec, acceptedMillis);
        workflow.mState = row.state();
        workflow.mBegun = row.hasBegun();
        workflow.mReason = row.reason();
        mState.addWorkflow(workflow);
        restoreProgress(workflow.mOccurrences, row);
        for (WorkflowRow.StepRow step : row.steps()) {
            if (step.step() < spec.steps().size()
                    && !workflow.mOccurrences.ended().contains(step.occurrence())) {
                restoreStep(workflow.mOccurrences.open(step.occurrence()), step);
            }
        }
        if (row.state().isFinal()) {
            return;
        }
        if (!spec.hasSchedule() && workflow.mOccurrences.endedCount() == 0) {
            workflow.mOccurrences.open(0);
        }
        for (Occurrence occurrence : List.copyOf(workflow.mOccurrences.open())) {
            mState.queueReadySteps(
                    occurrence, workflow.graph().readySteps(occurrence.doneSteps()), mNowMillis);
            workflow.mOccurrences.closeIfDone(occurrence);
            workflow.mOccurrences.suspendIfIdle(occurrence);
        }
    }

    private static void restoreProgress(Occurrences occurrences, WorkflowRow row) {
        row.endedOccurrences()
                .forEach(it -> occurrences.restoreEnded(new WorkflowRow.OccurrenceRange(it, it)));
        row.ended().forEach(occurrences::restoreEnded);
        row.doneSteps().forEach(occurrences::restoreDone);
    }

    private void restoreStep(Occurrence occurrence, WorkflowRow.StepRow row) {
        boolean wasDone = occurrence.doneSteps().get(row.step());
        Step step = occurrence.hold(row.step());
        restoreFields(step, row);
        int urgency = mState.policyOf(step.mWorkflow).map(QueuePolicy::priority).getOrElse(0);
        for (WorkflowRow.TaskRow taskRow : row.tasks()) {
            boolean isHeld = taskRow.index() >= row.doneBelow();
            if (!isHeld || taskRow.index() >= step.mSpec.taskCount()) {
                continue;
            }
            Task task = step.task(taskRow.index());
            task.mRun = taskRow.run();
            task.mFailures = taskRow.failures();
            task.mCrashes = taskRow.crashes();
            task.mProvedCrashes.addAll(taskRow.provedCrashes());
            task.mCheckpoint = taskRow.checkpoint();
            // The run of a completed task may go on; it counts for the quota of its workspace.
            boolean isDone = wasDone || taskRow.done();
            boolean counts = !isDone || !step.mWorkflow.mSpec.workspace().isEmpty();
            if (counts && !taskRow.worker().isEmpty()) {
                PoolWorker worker = restoredWorker(taskRow.worker());
                long begunMillis =
                        mState.mStoreOffset.toOwnerMillis(taskRow.begunMillis(), mNowMillis);
                task.inheritRun(worker, begunMillis, taskRow.incarnationMillis(), mNowMillis);
                task.mUrgency = urgency;
                worker.allocate(task, WorkerSelector.requiredRoom(step.mSpec));
            }
            if (isDone) {
                task.setPhase(Task.Phase.DONE, mNowMillis);
            }
        }
        if (wasDone) {
            step.markDone(mNowMillis);
        }
        if (step.isDone()) {
            occurrence.markDone(row.step());
            if (!step.hasRoom()) {
                occurrence.release(step);
            }
        }
    }

    private static void restoreFields(Step step, WorkflowRow.StepRow row) {
        step.mHasFailures =
                row.gangFailures() > 0 || row.tasks().stream().anyMatch(it -> it.failures() > 0);
        step.mGangFailures = row.gangFailures();
        step.mLastFailedGangRun = row.lastFailedRun();
        step.mGangCheckpoint = row.checkpoint();
        step.restoreDoneBelow(row.doneBelow());
    }

    // An unlisted worker may still execute runs that a previous owner started.
    private PoolWorker restoredWorker(String id) {
        return mState.mWorkers.computeIfAbsent(
                id,
                unused ->
                        new PoolWorker(
                                new WorkerEntry(
                                        id, "", "", "", "", List.of(), Room.NONE, false, 0, 0, 0),
                                mState.mLimits,
                                mState.mUsage));
    }
}
