package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.jspecify.annotations.Nullable;

/** Durable rows of the workflows of a simulated pool. */
final class SimulatedRows {
    private final Map<String, WorkflowRow> mRows = new HashMap<>();

    void putAll(Map<String, WorkflowRow> rows) {
        mRows.putAll(rows);
    }

    @Nullable WorkflowRow get(String id) {
        return mRows.get(id);
    }

    WorkflowState stateOf(String id) {
        WorkflowRow row = mRows.get(id);
        return row == null ? WorkflowState.PENDING : row.state();
    }

    /** Returns whether the row of a task's workflow says that the task is complete. */
    boolean isDone(TaskKey key) {
        WorkflowRow row = mRows.get(key.step().workflow());
        if (row == null) {
            return false;
        }
        return row.state().isFinal()
                || row.ended().stream().anyMatch(it -> contains(it, key))
                || row.doneSteps().stream().anyMatch(it -> isDone(it, key))
                || row.steps().stream().anyMatch(step -> isDone(step, key));
    }

    private static boolean contains(WorkflowRow.OccurrenceRange range, TaskKey key) {
        int occurrence = key.step().occurrence();
        return range.first() <= occurrence && occurrence <= range.last();
    }

    private static boolean isDone(WorkflowRow.DoneSteps row, TaskKey key) {
        int step = key.step().step();
        return contains(row.occurrences(), key) && row.toBits(step + 1).get(step);
    }

    private static boolean isDone(WorkflowRow.StepRow step, TaskKey key) {
        return step.occurrence() == key.step().occurrence()
                && step.step() == key.step().step()
                && step.tasks().stream().anyMatch(it -> it.done() && it.index() == key.index());
    }
}
