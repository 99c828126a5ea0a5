package org.hyssoprouter.lib.workflow;

import java.util.List;

/**
 * A job as its caller submitted it: steps of tasks, run once or at set times.
 *
 * @param id caller's identifier
 * @param queue name of the queue that it was submitted to
 * @param payload text that every task receives unchanged
 * @param steps steps, each of which may depend on earlier ones
 * @param schedule times of repetition
 * @since 0.2
 */
public record WorkflowSpec(
        String id, String queue, String payload, List<StepSpec> steps, Schedule schedule) {
    /**
     * Times at which the steps run.
     *
     * @param repeatCount number of runs, 0 for a workflow that runs once and at once
     * @param firstDueMillis due time of the first run, in milliseconds since 1970
     * @param intervalMillis time between two runs, in milliseconds
     */
    public record Schedule(int repeatCount, long firstDueMillis, long intervalMillis) {
        /** Runs once, at once. */
        public static final Schedule ONCE = new Schedule(0, 0, 0);
    }

    /** Returns how often the steps run. */
    public int occurrenceCount() {
        return Math.max(1, schedule.repeatCount());
    }

    /** Returns whether the steps run at set times. */
    public boolean hasSchedule() {
        return schedule.repeatCount() > 0;
    }
}
