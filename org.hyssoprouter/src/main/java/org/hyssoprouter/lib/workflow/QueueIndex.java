package org.hyssoprouter.lib.workflow;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Finds queues by name and by request. A search by request takes one lookup for each distinct
 * length of the host's path prefixes, however many queues there are.
 */
final class QueueIndex {
    private final Map<String, QueuePolicy> mByName = new HashMap<>();
    private final Map<String, HostRoutes> mByHost = new HashMap<>();

    QueueIndex(List<QueuePolicy> queues) {
        for (QueuePolicy queue : queues) {
            mByName.putIfAbsent(queue.name(), queue);
            mByHost.computeIfAbsent(queue.host(), host -> new HostRoutes()).add(queue);
        }
    }

    Option<QueuePolicy> queue(String name) {
        return Option.of(mByName.get(name));
    }

    Option<QueuePolicy> route(String host, String path) {
        HostRoutes routes = mByHost.get(host);
        return routes == null ? Option.none() : Option.of(routes.find(path));
    }

    /** Routes of one Host header. */
    private static final class HostRoutes {
        private final Map<String, QueuePolicy> mByPrefix = new HashMap<>();
        private final TreeSet<Integer> mLengths = new TreeSet<>(Comparator.reverseOrder());

        void add(QueuePolicy queue) {
            mByPrefix.putIfAbsent(queue.pathPrefix(), queue);
            mLengths.add(queue.pathPrefix().length());
        }

        @Nullable QueuePolicy find(String path) {
            for (int length : mLengths) {
                QueuePolicy queue =
                        length > path.length() ? null : mByPrefix.get(path.substring(0, length));
                if (queue != null) {
                    return queue;
                }
            }
            return null;
        }
    }
}
