package org.hyssoprouter.lib.workflow;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * What one step of a workflow asks for.
 *
 * @param taskCount number of tasks
 * @param room what each task needs
 * @param estimateMillis rough duration of a task, in milliseconds
 * @param after numbers of the earlier steps that must be done first
 * @param gang whether all tasks must run together
 * @param limits where tasks may run
 * @param habits how tasks behave while they run
 * @since 0.2
 */
public record StepSpec(
        int taskCount,
        Room room,
        long estimateMillis,
        List<Integer> after,
        boolean gang,
        Limits limits,
        Behavior habits) {
    /**
     * Where the tasks of a step may or should run.
     *
     * @param sameRack whether tasks take longer when they run on more than one rack
     * @param label label that a worker must have, or empty
     * @param preferredRack rack that holds the data, or empty
     * @param maxPerWorker most tasks of the step on one worker, 0 for no bound
     */
    public record Limits(boolean sameRack, String label, String preferredRack, int maxPerWorker) {
        /** No limits. */
        public static final Limits NONE = new Limits(false, "", "", 0);
    }

    /**
     * How the tasks of a step behave.
     *
     * @param checkpoints whether a task saves its progress and can resume from it
     * @param duplicatesAllowed whether copies of a task may run in parallel
     * @param longRunning whether tasks run until the workflow is cancelled
     * @param fills whether tasks use only processor time that others leave
     * @param maxUnavailable tasks that may be down by order of the scheduler at once
     * @param image name of what the tasks run, or empty
     * @param targetMillis bound of the tail of response times of a serving task, 0 for none
     */
    public record Behavior(
            boolean checkpoints,
            boolean duplicatesAllowed,
            boolean longRunning,
            boolean fills,
            int maxUnavailable,
            String image,
            long targetMillis) {
        /** Plain tasks that run once to their end. */
        public static final Behavior PLAIN = new Behavior(false, false, false, false, 0, "", 0);
    }
}
