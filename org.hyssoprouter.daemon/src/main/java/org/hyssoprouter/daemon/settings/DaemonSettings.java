package org.hyssoprouter.daemon.settings;

/**
 * Settings of one daemon, read once at its start.
 *
 * @param name name of the daemon, unique in the cell
 * @param region region that the host is in
 * @param domain failure domain that the host is in
 * @param http address of the HTTP API
 * @param peer address of the listener for other daemons
 * @param platform address of the platform's services
 * @param operatorToken token that operators' calls must carry
 * @param timing times of ownership, leases and stops
 * @param limits budgets and bounds
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
     * Times; {@link Setting} says what each is for.
     *
     * @param pollMillis between two reads of the cell's rows
     * @param deadAfterMillis without a change until a daemon counts as dead
     * @param confirmMillis up to which a confirmation of ownership holds
     * @param groupMillis for which journal events are gathered
     * @param platformTimeoutMillis timeout of a call to the platform
     * @param workerTimeoutMillis timeout of a control call to an executor
     * @param balancerSeconds from not ready until refusing
     * @param drainSeconds bound of a planned stop
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
     * Budgets and bounds.
     *
     * @param tableWritesPerSecond commits to the table
     * @param regionLinkBytesPerSecond bytes to daemons of other regions
     * @param maxBodyBytes largest body of a call
     * @param httpThreads threads for HTTP
     */
    public record Limits(
            int tableWritesPerSecond,
            long regionLinkBytesPerSecond,
            int maxBodyBytes,
            int httpThreads) {}

    /** Returns the settings without the operators' token, for logs. */
    @Override
    public String toString() {
        return String.format(
                "DaemonSettings[name=%s, region=%s, domain=%s, http=%s, peer=%s, platform=%s,"
                        + " %s, %s]",
                name, region, domain, http, peer, platform, timing, limits);
    }
}
