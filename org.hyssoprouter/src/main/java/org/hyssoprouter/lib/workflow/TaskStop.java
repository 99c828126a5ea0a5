package org.hyssoprouter.lib.workflow;

/**
 * Order to stop a run of a task; a run that has not arrived yet is barred for good.
 *
 * @param workerId worker that runs it
 * @param address {@code ip:port} of the worker
 * @param task task
 * @param run number of the run
 * @param reason why, for the log
 * @since 0.2
 */
public record TaskStop(String workerId, String address, TaskKey task, int run, String reason) {}
