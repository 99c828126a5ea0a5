package org.hyssoprouter.internal.ownership;

/**
 * Heartbeat row of a daemon.
 *
 * @param name name from its settings
 * @param incarnation drawn at random at each start
 * @param region region
 * @param domain failure domain
 * @param httpAddress {@code ip:port} of its HTTP API
 * @param peerAddress {@code ip:port} of its peer listener
 * @param sequence number of its last committed group
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
