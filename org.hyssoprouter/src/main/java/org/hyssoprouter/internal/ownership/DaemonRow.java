package org.hyssoprouter.internal.ownership;

/**
 * Heartbeat row of a daemon.
 *
 * @param name name of the daemon, from its settings
 * @param incarnation random identifier, generated at each start of the daemon
 * @param region region of the daemon
 * @param domain failure domain of the daemon
 * @param httpAddress {@code ip:port} of its HTTP API
 * @param peerAddress {@code ip:port} of its peer listener
 * @param sequence sequence number of its last group commit
 * @param stopping whether it is handing its shards over
 * @since 0.1
 */
public record DaemonRow(
        String name,
        String incarnation,
        String region,
        String domain,
        String httpAddress,
        String peerAddress,
        long sequence,
        boolean stopping) {}
