package org.hyssoprouter.standin.worker;

import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/**
 * Request body of a call that stops or throttles an attempt.
 *
 * @param shard shard to which the worker belongs
 * @param epoch epoch of the shard's owner
 * @param task task to stop
 * @param attempt number of the attempt
 * @param mode how the attempt is stopped
 * @since 0.1
 */
public record StopOrder(String shard, long epoch, TaskId task, int attempt, StopMode mode) {}
