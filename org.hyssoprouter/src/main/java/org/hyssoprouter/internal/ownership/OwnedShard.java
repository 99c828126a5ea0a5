package org.hyssoprouter.internal.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.util.Service;

/**
 * A shard while this daemon owns it.
 *
 * @since 0.1
 */
public interface OwnedShard extends Service {
    /** Returns the ownership that the shard runs under. */
    ShardContext context();

    /** Returns events that restore the present state, for a snapshot. */
    List<ShardEvent> snapshotEvents();

    /**
     * Takes no new work and sends no new starts, for a planned handover.
     *
     * @return completes when no request is in flight and nothing waits to be journaled
     */
    CompletableFuture<Boolean> quiesce();

    /** Opens shards that this daemon has come to own. */
    @FunctionalInterface
    interface Factory {
        /**
         * Opens a shard; it is started afterwards. Until then it has no effect outside itself: an
         * instance that is never started serves to fold a history into a snapshot.
         *
         * @param context ownership
         * @param history events since the shard's beginning, in order
         */
        OwnedShard open(ShardContext context, List<ShardEvent> history);
    }
}
