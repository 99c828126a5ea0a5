package org.hyssoprouter.lib.workflow;

import io.vavr.control.Option;
import java.util.List;

/**
 * Configuration of queues and pools.
 *
 * @param version version; higher ones replace lower ones
 * @param queues queues
 * @param pools names of the pools that are in use
 * @since 0.2
 */
public record PoolConfig(long version, List<QueuePolicy> queues, List<String> pools) {
    /** Configuration before the first one is known. */
    public static final PoolConfig NONE = new PoolConfig(0, List.of(), List.of());

    /** Returns the queue of that name. */
    public Option<QueuePolicy> queue(String name) {
        for (QueuePolicy queue : queues) {
            if (queue.name().equals(name)) {
                return Option.some(queue);
            }
        }
        return Option.none();
    }

    /** Returns the queue with the longest prefix that fits a call. */
    public Option<QueuePolicy> route(String host, String path) {
        QueuePolicy best = null;
        for (QueuePolicy queue : queues) {
            boolean fits = queue.host().equals(host) && path.startsWith(queue.pathPrefix());
            if (fits && (best == null || longer(queue, best))) {
                best = queue;
            }
        }
        return Option.of(best);
    }

    private static boolean longer(QueuePolicy one, QueuePolicy other) {
        return one.pathPrefix().length() > other.pathPrefix().length();
    }
}
