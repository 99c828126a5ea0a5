package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.List;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskStart;

/**
 * What the rows of the scheduler's workflows are made from, and what follows if they cannot be
 * stored.
 *
 * @since 0.3
 */
public final class WorkflowRows {
    private final PoolState mState;

    WorkflowRows(PoolState state) {
        mState = state;
    }

    /** Returns whether a workflow is known. */
    public boolean contains(String id) {
        return mState.mWorkflows.containsKey(id);
    }

    /** Returns the row to store for a workflow, or none if the workflow is unknown. */
    public Option<WorkflowRow> row(String id) {
        return Option.of(mState.mWorkflows.get(id))
                .map(workflow -> WorkflowRow.of(workflow, mState.mStoreOffset));
    }

    /** Returns the workspace of a workflow; empty if it has none or is not known. */
    public String workspaceOf(String id) {
        Workflow workflow = mState.mWorkflows.get(id);
        return workflow == null ? "" : workflow.mSpec.workspace();
    }

    /** Returns the parts of a workflow that is too large for one row; none if it is unknown. */
    public Option<WorkflowParts> partsOf(String id) {
        return Option.of(mState.mWorkflows.get(id))
                .map(workflow -> new WorkflowParts(workflow, () -> mState.mStoreOffset));
    }

    /** Returns the main row of a divided workflow, or none if the workflow is unknown. */
    public Option<WorkflowRow> mainRow(String id) {
        return Option.of(mState.mWorkflows.get(id)).map(WorkflowRow::mainOf);
    }

    /** Returns whether the tasks of a step form a gang; false if the step is unknown. */
    public boolean isGang(StepKey key) {
        Workflow workflow = mState.mWorkflows.get(key.workflow());
        return workflow != null
                && key.step() < workflow.mSpec.steps().size()
                && workflow.mSpec.steps().get(key.step()).gang();
    }

    /**
     * Places no more tasks of a workflow and withdraws its starts that were not sent, because its
     * row cannot be stored. Their room is free for other workflows.
     */
    public void hold(String id, List<TaskStart> unsentStarts, long nowMillis) {
        Workflow workflow = mState.mWorkflows.get(id);
        if (workflow == null) {
            return;
        }
        workflow.mHeld = true;
        workflow.heldSteps().forEach(Step::releaseReservations);
        for (TaskStart start : unsentStarts) {
            Task task = mState.findTask(start.task());
            if (task != null && task.mRun == start.run() && task.mWorker != null) {
                mState.requeue(task, nowMillis);
            }
        }
    }

    /** Places tasks of a workflow again. */
    public void endHold(String id) {
        Workflow workflow = mState.mWorkflows.get(id);
        if (workflow != null) {
            workflow.mHeld = false;
        }
    }
}
