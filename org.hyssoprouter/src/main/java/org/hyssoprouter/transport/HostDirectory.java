package org.hyssoprouter.transport;

import java.util.List;
import org.hyssoprouter.lib.HostInfo;

/**
 * The newest copy of the platform's host list that this daemon has; never blocks.
 *
 * @since 0.1
 */
public interface HostDirectory {
    /** Returns the hosts of a shard, leaving ones included; empty for an unknown shard. */
    List<HostInfo> hostsOf(String shard);

    /** Returns all hosts. */
    List<HostInfo> hosts();

    /** Returns a number that grows with each list read. */
    long revision();
}
