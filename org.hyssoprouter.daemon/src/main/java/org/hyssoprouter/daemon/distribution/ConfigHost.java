package org.hyssoprouter.daemon.distribution;

/**
 * Host that takes part in the distribution of the configuration.
 *
 * @param name name of its daemon, unique in the cell
 * @param address {@code ip:port} of its listener for other daemons
 * @param region region of the host, or empty
 * @param cores processor time that its daemon may use, in cores
 * @since 0.3
 */
public record ConfigHost(String name, String address, String region, double cores) {}
