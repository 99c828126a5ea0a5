package org.hyssoprouter.lib;

import java.util.List;

/**
 * What an operator sees of a job.
 *
 * @param spec what was submitted
 * @param shard home shard
 * @param state state
 * @param reason why it waits or how it ended
 * @param acceptedWallMillis wall clock of its acceptance
 * @param waitedMillis time from acceptance until its first start, or until now
 * @param tasks its tasks
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
     * What an operator sees of a task.
     *
     * @param index position in the job
     * @param state state
     * @param attempt last attempt, 0 before the first
     * @param worker worker of the last attempt, or empty
     * @param reason why it waits or how it failed
     */
    public record TaskView(int index, TaskState state, int attempt, String worker, String reason) {}
}
