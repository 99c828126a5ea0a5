package org.hyssoprouter.internal.workflow;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Durable state of a workflow: what an owner needs to go on where another one ended.
 *
 * @param queue name of its queue
 * @param state state as callers see it
 * @param endedOccurrences occurrences whose steps are all done
 * @param steps steps with a task that was started
 * @since 0.2
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkflowRow(
        String queue, WorkflowState state, List<Integer> endedOccurrences, List<StepRow> steps) {
    /**
     * State of a step.
     *
     * @param occurrence number of the occurrence
     * @param step number of the step
     * @param gangFailures failed runs of a gang
     * @param checkpoint saved progress of a gang, or empty
     * @param tasks tasks that were started
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record StepRow(
            int occurrence, int step, int gangFailures, String checkpoint, List<TaskRow> tasks) {}

    /**
     * State of a task.
     *
     * @param index number of the task
     * @param run number of its last run
     * @param failures failed runs
     * @param done whether it has done its work
     * @param worker worker that its last run may be on, or empty
     * @param checkpoint saved progress, or empty
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record TaskRow(
            int index, int run, int failures, boolean done, String worker, String checkpoint) {}

    /** Returns the row of a workflow; that of an ended one holds its state only. */
    static WorkflowRow of(Workflow workflow) {
        List<StepRow> steps = new ArrayList<>();
        if (!workflow.mState.isFinal()) {
            for (Step step : workflow.openSteps()) {
                List<TaskRow> tasks = tasksOf(step);
                if (!tasks.isEmpty()) {
                    steps.add(rowOf(step, tasks));
                }
            }
        }
        return new WorkflowRow(
                workflow.mSpec.queue(),
                workflow.mState,
                new ArrayList<>(workflow.mEndedOccurrences),
                steps);
    }

    private static StepRow rowOf(Step step, List<TaskRow> tasks) {
        String checkpoint = step.mSpec.gang() ? step.mGangCheckpoint : "";
        return new StepRow(
                step.mKey.occurrence(), step.mKey.step(), step.mGangFailures, checkpoint, tasks);
    }

    private static List<TaskRow> tasksOf(Step step) {
        List<TaskRow> rows = new ArrayList<>();
        for (Task task : step.mTasks) {
            if (task.mRun > 0) {
                PoolWorker worker = task.mWorker;
                rows.add(
                        new TaskRow(
                                task.mKey.index(),
                                task.mRun,
                                task.mFailures,
                                task.mPhase == Task.Phase.DONE,
                                worker == null ? "" : worker.mId,
                                step.mSpec.gang() ? "" : task.mCheckpoint));
            }
        }
        return rows;
    }
}
