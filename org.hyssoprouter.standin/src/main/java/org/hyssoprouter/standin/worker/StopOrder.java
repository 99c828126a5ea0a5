package org.hyssoprouter.standin.worker;

import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/**
 * Body of a call that stops an attempt.
 *
 * @param shard shard that the worker belongs to
 * @param epoch epoch of the shard's owner
 * @param task task
 * @param attempt attempt of the task
 * @param mode what to do before the task is stopped
 * @since 0.1
 */
public record StopOrder(String shard, long epoch, TaskId task, int attempt, StopMode mode) {}
