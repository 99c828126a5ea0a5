package org.hyssoprouter.lib.workflow;

import java.util.List;
import java.util.Objects;

/**
 * Workflow as submitted by a caller: a job of dependent steps that runs once or on a schedule.
 *
 * @param id identifier chosen by the caller
 * @param queue name of the queue that the workflow was submitted to
 * @param payload text that is passed to every task unchanged
 * @param steps steps; each may depend on earlier ones
 * @param schedule times at which the workflow runs
 * @param acceptedMillis time of the acceptance on the store's steady clock, in milliseconds; 0 if
 *     unknown
 * @param workspace name of the workspace that submitted it, or empty
 * @since 0.2
 */
public record WorkflowSpec(
        String id,
        String queue,
        String payload,
        List<StepSpec> steps,
        Schedule schedule,
        long acceptedMillis,
        String workspace) {
    /** Replaces the workspace that rows of an earlier release lack. */
    public WorkflowSpec {
        workspace = Objects.requireNonNullElse(workspace, "");
    }

    /** Creates a workflow of no workspace that is not accepted yet. */
    public WorkflowSpec(
            String id, String queue, String payload, List<StepSpec> steps, Schedule schedule) {
        this(id, queue, payload, steps, schedule, 0, "");
    }

    /** Returns this workflow with the time of its acceptance. */
    public WorkflowSpec acceptedAt(long millis) {
        return new WorkflowSpec(id, queue, payload, steps, schedule, millis, workspace);
    }

    /** Returns this workflow with equal parts of its steps shared, which takes less memory. */
    public WorkflowSpec withSharedParts() {
        return new WorkflowSpec(
                id, queue, payload, SharedParts.share(steps), schedule, acceptedMillis, workspace);
    }

    /** Returns this workflow as one of a workspace. */
    public WorkflowSpec inWorkspace(String name) {
        return new WorkflowSpec(id, queue, payload, steps, schedule, acceptedMillis, name);
    }

    /**
     * Times at which a workflow runs.
     *
     * @param repeatCount number of occurrences; 0 for a workflow that runs once, immediately
     * @param firstDueMillis due time of the first occurrence, in milliseconds since 1970
     * @param intervalMillis time between the due times of two occurrences, in milliseconds
     */
    public record Schedule(int repeatCount, long firstDueMillis, long intervalMillis) {
        /** Runs once, immediately. */
        public static final Schedule ONCE = new Schedule(0, 0, 0);
    }

    /** Returns the number of times that the steps run. */
    public int occurrenceCount() {
        return Math.max(1, schedule.repeatCount());
    }

    /** Returns whether the steps run on a schedule instead of once, immediately. */
    public boolean hasSchedule() {
        return schedule.repeatCount() > 0;
    }
}
