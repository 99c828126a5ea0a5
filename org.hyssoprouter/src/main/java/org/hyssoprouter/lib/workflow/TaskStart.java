package org.hyssoprouter.lib.workflow;

/**
 * Order to start a run of a task.
 *
 * @param workerId worker that is to run it
 * @param address {@code ip:port} of the worker
 * @param task task
 * @param run number of the run
 * @param payload text for the task
 * @param checkpoint saved progress to resume from, or empty
 * @param ticket approval for this worker, or empty
 * @since 0.2
 */
public record TaskStart(
        String workerId,
        String address,
        TaskKey task,
        int run,
        String payload,
        String checkpoint,
        String ticket) {}
