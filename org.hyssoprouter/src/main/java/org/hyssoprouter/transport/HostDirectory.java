package org.hyssoprouter.transport;

import java.util.List;
import org.hyssoprouter.lib.HostInfo;

/**
 * Lookup of hosts in this daemon's cached copy of the platform's host list; never blocks.
 *
 * @since 0.1
 */
public interface HostDirectory {
    /** Returns the hosts of a shard, including leaving hosts; empty for an unknown shard. */
    List<HostInfo> hostsOf(String shard);

    /** Returns all hosts. */
    List<HostInfo> hosts();

    /** Returns a revision number that increases each time the list is read. */
    long revision();
}
