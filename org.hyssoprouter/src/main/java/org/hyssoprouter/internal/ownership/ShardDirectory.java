package org.hyssoprouter.internal.ownership;

import io.vavr.control.Option;
import java.util.List;

/**
 * Provides the shards and daemons as this daemon last read them from the table. No method blocks.
 *
 * @since 0.1
 */
public interface ShardDirectory {
    /** Returns the rows of all shards, ordered by name. */
    List<ShardRow> shards();

    /** Returns the rows of all daemons not detected as dead, ordered by name. */
    List<DaemonRow> liveDaemons();

    /** Returns the shard, or none unless this daemon owns it and has recovered its state. */
    Option<OwnedShard> ownedShard(String shard);
}
