package org.hyssoprouter.daemon.ownership;

import java.util.List;
import org.hyssoprouter.internal.ownership.RegionPeers;

/**
 * Query whether a peer cannot read the table and therefore cannot take over shards.
 *
 * @param asker daemon that sends the query; the peer has to query it too from then on
 * @param region region of that daemon
 * @param incarnation incarnation of that daemon
 * @param holdings shards that the daemon owns as of its last read; empty if it only announces
 *     itself
 * @since 0.1
 */
public record TableStatusQuery(
        RegionPeers.Peer asker, String region, String incarnation, List<Holding> holdings) {
    /**
     * Shard that the sender owns.
     *
     * @param shard name of the shard
     * @param epoch epoch under which the sender owns it
     */
    public record Holding(String shard, long epoch) {}

    /**
     * Answer to the query.
     *
     * @param cannotRead whether the peer has not read the table recently, knows no newer owner, and
     *     promises to take nothing over before it has again read the table without a gap for the
     *     time after which a daemon is dead
     * @param rivals daemons of its region that the peer knows
     */
    public record Answer(boolean cannotRead, List<RegionPeers.Peer> rivals) {}
}
