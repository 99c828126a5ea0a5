package org.hyssoprouter.transport;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;

/**
 * Order to start one attempt of a task on a worker.
 *
 * @param shard shard that the worker belongs to
 * @param epoch epoch of the shard's owner; the worker refuses an epoch older than the newest
 *     received
 * @param task id of the task
 * @param attempt number of the attempt, from 1
 * @param notAfterMillis instant on the worker's own clock after which it refuses the start
 * @param room resources that the task may use
 * @param runTimeMillis declared run time; 0 if the task does not end by itself
 * @param command opaque string for the worker
 * @since 0.1
 */
public record StartOrder(
        String shard,
        long epoch,
        TaskId task,
        int attempt,
        long notAfterMillis,
        Room room,
        long runTimeMillis,
        String command) {}
