package org.hyssoprouter.daemon.ownership;

import java.util.List;
import org.hyssoprouter.internal.ownership.RegionPeers;

/**
 * Asks a peer whether it cannot read the table and therefore can take nothing over.
 *
 * @param asker asking daemon, which the peer has to ask too from now on
 * @param region its region
 * @param incarnation its incarnation
 * @param holdings shards that it owns as far as it knows; none if it only makes itself known
 * @since 0.1
 */
public record TableStatusQuery(
        RegionPeers.Peer asker, String region, String incarnation, List<Holding> holdings) {
    /**
     * A shard and the epoch under which the asking daemon owns it.
     *
     * @param shard shard
     * @param epoch epoch
     */
    public record Holding(String shard, long epoch) {}

    /**
     * Answer to the query.
     *
     * @param cannotRead whether the peer has not read the table of late, knows of no newer owner,
     *     and will take nothing over before it has read the table anew for the whole time
     * @param rivals daemons of its region that the peer knows
     */
    public record Answer(boolean cannotRead, List<RegionPeers.Peer> rivals) {}
}
