package org.hyssoprouter.transport;

import java.util.List;
import org.hyssoprouter.lib.TaskId;

/**
 * Call that renews the lease of all tasks of a shard on one worker and requests its inventory.
 *
 * @param shard shard
 * @param epoch epoch of the owner; the worker refuses an epoch older than the newest received
 * @param leaseMillis time from receipt for which the tasks may continue to run
 * @param notAfterMillis instant on the worker's own clock after which it refuses the renewal; 0 if
 *     its clock is not yet known to the owner
 * @param acknowledged ended attempts that the owner has recorded and the worker may discard
 * @since 0.1
 */
public record LeaseRenewal(
        String shard,
        long epoch,
        long leaseMillis,
        long notAfterMillis,
        List<AttemptId> acknowledged) {
    /**
     * Identifies an attempt of a task.
     *
     * @param task id of the task
     * @param attempt number of the attempt, from 1
     */
    public record AttemptId(TaskId task, int attempt) {}
}
