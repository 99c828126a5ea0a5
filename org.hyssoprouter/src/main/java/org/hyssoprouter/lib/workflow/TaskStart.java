package org.hyssoprouter.lib.workflow;

/**
 * Order to start a run of a task.
 *
 * @param workerId identifier of the worker
 * @param address {@code ip:port} of the worker
 * @param task key of the task
 * @param run number of the run
 * @param payload payload of the workflow, passed to the task unchanged
 * @param checkpoint checkpoint to resume from, or empty
 * @param ticket approval ticket for the worker, or empty
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
