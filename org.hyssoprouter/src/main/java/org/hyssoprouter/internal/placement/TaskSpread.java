package org.hyssoprouter.internal.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the live tasks of one job per worker and rack. Not thread-safe.
 *
 * @since 0.1
 */
public final class TaskSpread {
    private final Map<String, Integer> mOnWorker = new HashMap<>();
    private final Map<String, Integer> mOnRack = new HashMap<>();

    /** Creates counters without tasks. */
    public TaskSpread() {}

    /** Adds a task on a worker of a rack. */
    public void add(String worker, String rack) {
        mOnWorker.merge(worker, 1, Integer::sum);
        mOnRack.merge(rack, 1, Integer::sum);
    }

    /** Removes a task from a worker of a rack. */
    public void remove(String worker, String rack) {
        mOnWorker.computeIfPresent(worker, (name, count) -> count > 1 ? count - 1 : null);
        mOnRack.computeIfPresent(rack, (name, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the number of tasks on a worker. */
    public int onWorker(String worker) {
        return mOnWorker.getOrDefault(worker, 0);
    }

    /** Returns the number of tasks on a rack. */
    public int onRack(String rack) {
        return mOnRack.getOrDefault(rack, 0);
    }
}
