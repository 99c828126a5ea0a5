package org.hyssoprouter.lib;

import java.util.List;

/**
 * Status of a job as reported to operators.
 *
 * @param spec submitted specification
 * @param shard home shard
 * @param state state of the job
 * @param reason reason why the job waits, or how it ended
 * @param acceptedWallMillis wall clock time at which the job was accepted
 * @param waitedMillis time from acceptance to the first start, or until now
 * @param tasks status of each task
 * @since 0.1
 */
public record JobView(
        JobSpec spec,
        String shard,
        JobState state,
        String reason,
        long acceptedWallMillis,
        long waitedMillis,
        List<TaskView> tasks) {
    /**
     * Status of a task as reported to operators.
     *
     * @param index position of the task in the job
     * @param state state of the task
     * @param attempt number of the last attempt; 0 before the first
     * @param worker worker of the last attempt, or empty
     * @param reason reason why the task waits, or how it failed
     */
    public record TaskView(int index, TaskState state, int attempt, String worker, String reason) {}
}
