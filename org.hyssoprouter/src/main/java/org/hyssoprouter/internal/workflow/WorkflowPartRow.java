package org.hyssoprouter.internal.workflow;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import java.util.Objects;

/**
 * Part of the durable state of a workflow that is too large for one row.
 *
 * @param steps steps with started tasks of this part; the fields of a whole step are in the part
 *     that its first task belongs to
 * @param ended ranges of occurrences whose steps are all done
 * @param doneSteps steps that are done in occurrences that have not ended
 * @since 0.3
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkflowPartRow(
        List<WorkflowRow.StepRow> steps,
        List<WorkflowRow.OccurrenceRange> ended,
        List<WorkflowRow.DoneSteps> doneSteps) {
    /** Replaces the lists that a foreign row may lack. */
    public WorkflowPartRow {
        steps = Objects.requireNonNullElse(steps, List.of());
        ended = Objects.requireNonNullElse(ended, List.of());
        doneSteps = Objects.requireNonNullElse(doneSteps, List.of());
    }

    /** Creates a part with tasks or fields of one step. */
    static WorkflowPartRow of(WorkflowRow.StepRow step) {
        return new WorkflowPartRow(List.of(step), List.of(), List.of());
    }

    /** Returns this part without checkpoints, from which runs would otherwise resume. */
    public WorkflowPartRow withoutCheckpoints() {
        return new WorkflowPartRow(
                steps.stream().map(WorkflowPartRow::withoutCheckpoints).toList(), ended, doneSteps);
    }

    private static WorkflowRow.StepRow withoutCheckpoints(WorkflowRow.StepRow step) {
        return new WorkflowRow.StepRow(
                step.occurrence(),
                step.step(),
                step.gangFailures(),
                "",
                step.tasks().stream().map(it -> it.withCheckpoint("")).toList(),
                step.lastFailedRun());
    }
}
