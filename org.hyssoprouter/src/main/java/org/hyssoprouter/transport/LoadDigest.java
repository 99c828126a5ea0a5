package org.hyssoprouter.transport;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * Load of one shard, sent with replies so that the daemons that receive requests can balance them
 * between owners.
 *
 * @param shard shard
 * @param epoch epoch of its owner
 * @param sequence sequence number, increasing within an epoch
 * @param services load of each service's executors
 * @param freeRoom total free resources of all workers
 * @param largestFree free resources of the worker with the most free CPU
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
     * @param slots total number of slots
     * @param inUse number of slots in use
     * @param queued number of queued requests
     */
    public record ServiceLoad(String service, int slots, int inUse, int queued) {}
}
