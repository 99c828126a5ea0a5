package org.hyssoprouter.daemon.workflow;

import java.util.Objects;

/**
 * Daemon of the cell.
 *
 * @param name name
 * @param incarnation identifier of the daemon's process run
 * @param address {@code ip:port} of its listener for other daemons
 * @param cores processor time that it may use, in cores
 * @param region region of its host, or empty
 * @param domain failure domain of its host, or empty
 */
record MemberRow(
        String name,
        String incarnation,
        String address,
        double cores,
        String region,
        String domain) {
    /** Replaces the location that rows of an earlier release lack. */
    MemberRow {
        region = Objects.requireNonNullElse(region, "");
        domain = Objects.requireNonNullElse(domain, "");
    }

    /** Creates the row of a daemon whose location is unknown. */
    MemberRow(String name, String incarnation, String address, double cores) {
        this(name, incarnation, address, cores, "", "");
    }
}
