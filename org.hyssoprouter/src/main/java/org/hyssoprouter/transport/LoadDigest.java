package org.hyssoprouter.transport;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * Load of one shard, carried on replies so that entries can choose between owners.
 *
 * @param shard shard
 * @param epoch epoch of its owner
 * @param sequence larger in a later digest of the same epoch
 * @param services load of each service's executors
 * @param freeRoom free room of all workers together
 * @param largestFree largest free room of a single worker, by processor
 * @since 0.1
 */
public record LoadDigest(
        String shard,
        long epoch,
        long sequence,
        List<ServiceLoad> services,
        Room freeRoom,
        Room largestFree) {
    /**
     * Load of the executors of one service.
     *
     * @param service service
     * @param slots slots in all
     * @param inUse slots in use
     * @param queued requests that wait
     */
    public record ServiceLoad(String service, int slots, int inUse, int queued) {}
}
