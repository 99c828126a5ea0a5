package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.internal.workflow.SchedulerLimits;

/**
 * Settings of workflows on a daemon.
 *
 * @param name name of the daemon, unique in the cell
 * @param incarnation identifier of this process run of the daemon
 * @param peerAddress {@code ip:port} of its listener for other daemons
 * @param limits limits of the platform
 * @param heartbeatMillis interval between two writes of a worker's entry in the list, in
 *     milliseconds
 * @param cores processor time that the daemon may use, in cores
 * @param region region of its host, or empty
 * @param domain failure domain of its host, or empty
 * @param maxRowBytes size of a row's value that the table store accepts, in bytes
 * @since 0.2
 */
public record WorkflowSettings(
        String name,
        String incarnation,
        String peerAddress,
        SchedulerLimits limits,
        long heartbeatMillis,
        double cores,
        String region,
        String domain,
        int maxRowBytes) {
    /** Size of a row's value that a table store usually accepts, in bytes. */
    public static final int DEFAULT_MAX_ROW_BYTES = 65_536;

    /** Creates the settings of a daemon whose location is unknown. */
    public WorkflowSettings(
            String name,
            String incarnation,
            String peerAddress,
            SchedulerLimits limits,
            long heartbeatMillis,
            double cores) {
        this(
                name,
                incarnation,
                peerAddress,
                limits,
                heartbeatMillis,
                cores,
                "",
                "",
                DEFAULT_MAX_ROW_BYTES);
    }
}
