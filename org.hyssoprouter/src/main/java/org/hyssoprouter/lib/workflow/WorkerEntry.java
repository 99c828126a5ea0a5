package org.hyssoprouter.lib.workflow;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * A worker as the platform lists it.
 *
 * @param id identifier of the worker
 * @param pool pool that it belongs to
 * @param address {@code ip:port} for orders
 * @param domain failure domain
 * @param rack rack, or empty
 * @param labels labels, the rack among them
 * @param capacity what it can hold
 * @param draining whether it leaves soon
 * @param remainingMillis time that it stays at least while it drains, in milliseconds
 * @param clockMillis its steady clock when it wrote the entry, in milliseconds
 * @param incarnationMillis start of its present life, in milliseconds since 1970, 0 if unknown
 * @since 0.2
 */
public record WorkerEntry(
        String id,
        String pool,
        String address,
        String domain,
        String rack,
        List<String> labels,
        Room capacity,
        boolean draining,
        long remainingMillis,
        long clockMillis,
        long incarnationMillis) {}
