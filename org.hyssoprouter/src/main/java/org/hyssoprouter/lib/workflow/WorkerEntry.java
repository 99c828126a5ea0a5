package org.hyssoprouter.lib.workflow;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * Entry of a worker in the platform's worker list.
 *
 * @param id identifier of the worker
 * @param pool name of the worker's pool
 * @param address {@code ip:port} that accepts orders
 * @param domain failure domain
 * @param rack name of the rack, or empty
 * @param labels labels of the worker, including its rack
 * @param capacity total resources of the worker
 * @param draining whether the worker is draining and will leave the pool
 * @param remainingMillis minimum time until a draining worker leaves, in milliseconds
 * @param clockMillis worker's monotonic clock when it wrote the entry, in milliseconds
 * @param incarnationMillis start time of the worker's current incarnation, which identifies it, in
 *     milliseconds since 1970; 0 if unknown
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
