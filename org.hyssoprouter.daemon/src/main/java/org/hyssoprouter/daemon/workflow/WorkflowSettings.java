package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.internal.workflow.SchedulerLimits;

/**
 * Settings of a daemon's part in workflows.
 *
 * @param name name of the daemon, unique in the cell
 * @param incarnation this run of the daemon
 * @param peerAddress {@code ip:port} of its listener for other daemons
 * @param limits bounds of the platform
 * @param heartbeatMillis time between two writes of a worker's entry in the list, in milliseconds
 * @param cores processor time that the daemon may use, in cores
 * @since 0.2
 */
public record WorkflowSettings(
        String name,
        String incarnation,
        String peerAddress,
        SchedulerLimits limits,
        long heartbeatMillis,
        double cores) {}
