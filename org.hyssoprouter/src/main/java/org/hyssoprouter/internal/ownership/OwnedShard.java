package org.hyssoprouter.internal.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.util.Service;

/**
 * A shard that this daemon owns, with its scheduler and request handling.
 *
 * @since 0.1
 */
public interface OwnedShard extends Service {
    /** Returns the ownership context of the shard. */
    ShardContext context();

    /** Returns events that restore the current state, to be stored in a snapshot. */
    List<ShardEvent> snapshotEvents();

    /**
     * Stops accepting work and starting tasks, in preparation for a planned handover.
     *
     * @return completes when no request is in flight and no event waits to be journaled
     */
    CompletableFuture<Boolean> quiesce();

    /** Opens shards after this daemon became their owner. */
    @FunctionalInterface
    interface Factory {
        /**
         * Opens a shard from its history. The caller starts it afterwards. A shard that was not
         * started has no external effects, so an instance that is never started can be used to
         * compute a snapshot from a history.
         *
         * @param context ownership context
         * @param history all events of the shard, in order
         */
        OwnedShard open(ShardContext context, List<ShardEvent> history);
    }
}
