package org.hyssoprouter.transport;

import java.util.List;
import org.hyssoprouter.lib.TaskId;

/**
 * Renews the lease of all tasks of a shard on one worker and asks for its inventory.
 *
 * @param shard shard
 * @param epoch epoch of the owner; the worker refuses an older one than it has seen
 * @param leaseMillis time from receipt for which the tasks may go on
 * @param notAfterMillis instant on the worker's own clock after which it refuses the renewal; 0
 *     when its clock is not known yet
 * @param acknowledged ended attempts that the owner has recorded, which the worker may forget
 * @since 0.1
 */
public record LeaseRenewal(
        String shard,
        long epoch,
        long leaseMillis,
        long notAfterMillis,
        List<AttemptId> acknowledged) {
    /**
     * Identity of an attempt.
     *
     * @param task task
     * @param attempt attempt
     */
    public record AttemptId(TaskId task, int attempt) {}
}
