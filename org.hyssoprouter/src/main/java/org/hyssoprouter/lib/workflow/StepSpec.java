package org.hyssoprouter.lib.workflow;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * Requirements of one step of a workflow.
 *
 * @param taskCount number of tasks
 * @param room resources that each task needs
 * @param estimateMillis estimated duration of a task, in milliseconds
 * @param after numbers of the steps that must be complete before this one starts
 * @param gang whether all tasks must run at the same time
 * @param limits placement constraints
 * @param habits runtime behavior of the tasks
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
     * Placement constraints and preferences of a step.
     *
     * @param sameRack whether tasks run faster if all of them are on one rack
     * @param label label that a worker must have, or empty
     * @param preferredRack rack that holds the data, or empty
     * @param maxPerWorker maximum number of the step's tasks on one worker; 0 for no limit
     */
    public record Limits(boolean sameRack, String label, String preferredRack, int maxPerWorker) {
        /** No constraints. */
        public static final Limits NONE = new Limits(false, "", "", 0);
    }

    /**
     * Runtime behavior of the tasks of a step.
     *
     * @param checkpoints whether a task writes checkpoints and can resume from them
     * @param duplicatesAllowed whether duplicates of a task may run in parallel
     * @param longRunning whether tasks run until the workflow is cancelled
     * @param fills whether tasks only use CPU time that is otherwise idle
     * @param maxUnavailable maximum number of tasks that the scheduler may take down at the same
     *     time
     * @param image name of the image that the tasks run, or empty
     * @param targetMillis target tail latency of a serving task, in milliseconds; 0 for none
     */
    public record Behavior(
            boolean checkpoints,
            boolean duplicatesAllowed,
            boolean longRunning,
            boolean fills,
            int maxUnavailable,
            String image,
            long targetMillis) {
        /** Default behavior: tasks run to completion, without checkpoints or duplicates. */
        public static final Behavior PLAIN = new Behavior(false, false, false, false, 0, "", 0);
    }
}
