package org.hyssoprouter.lib.workflow;

/**
 * Order to stop a run of a task. If the start order arrives after it, the worker rejects the start.
 *
 * @param workerId identifier of the worker
 * @param address {@code ip:port} of the worker
 * @param task key of the task
 * @param run number of the run
 * @param reason reason for the stop, for the log
 * @since 0.2
 */
public record TaskStop(String workerId, String address, TaskKey task, int run, String reason) {}
