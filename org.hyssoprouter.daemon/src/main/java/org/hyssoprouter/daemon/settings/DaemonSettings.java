package org.hyssoprouter.daemon.settings;

/**
 * Settings of one daemon, read once at startup.
 *
 * @param name name of the daemon, unique in the cell
 * @param region region of the host
 * @param domain failure domain of the host
 * @param http address of the HTTP API
 * @param peer address of the listener for other daemons
 * @param platform address of the platform's services
 * @param operatorToken token that authenticates operators' calls
 * @param timing intervals and timeouts of ownership, calls and stops
 * @param limits rate and size limits
 * @since 0.1
 */
public record DaemonSettings(
        String name,
        String region,
        String domain,
        IpPort http,
        IpPort peer,
        IpPort platform,
        String operatorToken,
        Timing timing,
        Limits limits) {
    /**
     * Intervals and timeouts; {@link Setting} documents the use of each.
     *
     * @param pollMillis interval between reads of the cell's rows
     * @param deadAfterMillis time without a change of its row after which a daemon is considered
     *     dead
     * @param confirmMillis time for which a confirmation of ownership is valid
     * @param groupMillis time for which journal events are batched into one commit
     * @param platformTimeoutMillis timeout of a call to the platform
     * @param workerTimeoutMillis timeout of a control call to an executor
     * @param balancerSeconds time between reporting not ready and refusing calls
     * @param drainSeconds maximum duration of a planned stop
     */
    public record Timing(
            long pollMillis,
            long deadAfterMillis,
            long confirmMillis,
            long groupMillis,
            long platformTimeoutMillis,
            long workerTimeoutMillis,
            int balancerSeconds,
            int drainSeconds) {}

    /**
     * Rate and size limits.
     *
     * @param tableWritesPerSecond maximum rate of commits to the table
     * @param regionLinkBytesPerSecond maximum rate of bytes sent to daemons of other regions
     * @param maxBodyBytes maximum size of a request body
     * @param httpThreads number of HTTP I/O threads
     */
    public record Limits(
            int tableWritesPerSecond,
            long regionLinkBytesPerSecond,
            int maxBodyBytes,
            int httpThreads) {}

    /** Returns the settings without the operator token, which must not be logged. */
    @Override
    public String toString() {
        return String.format(
                "DaemonSettings[name=%s, region=%s, domain=%s, http=%s, peer=%s, platform=%s,"
                        + " %s, %s]",
                name, region, domain, http, peer, platform, timing, limits);
    }
}
