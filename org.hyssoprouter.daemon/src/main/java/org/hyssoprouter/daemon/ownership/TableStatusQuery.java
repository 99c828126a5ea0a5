package org.hyssoprouter.daemon.ownership;

import java.util.List;

/**
 * Asks a peer whether it cannot read the table and therefore can take nothing over.
 *
 * @param name name of the asking daemon
 * @param incarnation its incarnation
 * @param holdings shards that it owns as far as it knows
 * @since 0.1
 */
public record TableStatusQuery(String name, String incarnation, List<Holding> holdings) {
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
     */
    public record Answer(boolean cannotRead) {}
}
