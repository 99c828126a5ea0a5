package org.hyssoprouter.internal.ownership;

import io.vavr.control.Option;
import java.util.List;

/**
 * What this daemon last read of owners and daemons; never blocks.
 *
 * @since 0.1
 */
public interface ShardDirectory {
    /** Returns the rows of all shards, by name. */
    List<ShardRow> shards();

    /** Returns the rows of all daemons that seem to be alive, by name. */
    List<DaemonRow> liveDaemons();

    /** Returns the shard if this daemon owns it and has recovered its state. */
    Option<OwnedShard> ownedShard(String shard);
}
