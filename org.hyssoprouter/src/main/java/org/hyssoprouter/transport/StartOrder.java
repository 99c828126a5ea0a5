package org.hyssoprouter.transport;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;

/**
 * Order to start one attempt of a task on a worker.
 *
 * @param shard shard that the worker belongs to
 * @param epoch epoch of the shard's owner; the worker refuses an older one than it has seen
 * @param task task
 * @param attempt attempt of the task, from 1
 * @param notAfterMillis instant on the worker's own clock after which it refuses the start
 * @param room room that the task may use
 * @param runTimeMillis declared run time; 0 for one that does not end by itself
 * @param command opaque text for the worker
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
