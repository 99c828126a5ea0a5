package org.hyssoprouter.internal.workflow;

/**
 * How many steps may wait for a run at a time. The others, whose turn has come as well, take their
 * place as they start or find no room, so that the time of a round and the owner's memory do not
 * grow with what was accepted.
 */
final class QueueLimits {
    /** Number of steps of all workflows without a schedule that may wait, those of each shared. */
    private static final int MAX_QUEUED = 8_192;

    private static final int MAX_QUEUED_PER_WORKFLOW = 1_024;
    private static final int MIN_QUEUED_PER_WORKFLOW = 4;

    /** Number of steps of all schedules together that may wait. */
    private static final int MAX_QUEUED_OF_SCHEDULES = 1_024;

    /** Number of occurrences of one schedule that may wait for a step. */
    private static final int MAX_QUEUED_OCCURRENCES = 128;

    private QueueLimits() {}

    /** Returns the number of steps of a workflow without a schedule that may wait. */
    static int steps(int workflowCount) {
        int share = MAX_QUEUED / Math.max(1, workflowCount);
        return Math.max(MIN_QUEUED_PER_WORKFLOW, Math.min(MAX_QUEUED_PER_WORKFLOW, share));
    }

    /** Returns the number of occurrences of a schedule that may wait for one of its steps. */
    static int occurrences(int scheduleCount, int stepCount) {
        long share = MAX_QUEUED_OF_SCHEDULES / Math.max(1, (long) scheduleCount * stepCount);
        return (int) Math.max(1, Math.min(MAX_QUEUED_OCCURRENCES, share));
    }
}
