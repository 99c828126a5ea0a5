package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;

/** Number of tasks that pools have room for when they are empty. Valid for one placement round. */
final class PoolCapacities {
    private final Function<String, List<PoolWorker>> mWorkers;
    private final Map<Key, Long> mCounts = new HashMap<>();

    /** Pool and what decides how many tasks it has room for. */
    private record Key(String pool, Room room, String label, int maxPerWorker) {}

    /**
     * Creates capacities that are computed when they are needed.
     *
     * @param workers returns the workers of a pool that accept new runs
     */
    PoolCapacities(Function<String, List<PoolWorker>> workers) {
        mWorkers = workers;
    }

    /**
     * Returns whether a gang has more members than its pool has capacity for, whatever runs there.
     * It waits until there are enough workers, and keeps nothing from others until then.
     */
    boolean isTooWide(Step step, String pool) {
        StepSpec spec = step.mSpec;
        if (!spec.gang()) {
            return false;
        }
        Key capacity =
                new Key(
                        pool,
                        WorkerSelector.requiredRoom(spec),
                        spec.limits().label(),
                        spec.limits().maxPerWorker());
        return spec.taskCount() > mCounts.computeIfAbsent(capacity, it -> tasksIn(step, it));
    }

    /** Returns the number of tasks like those of a step that an empty pool has room for. */
    private long tasksIn(Step step, Key capacity) {
        long count = 0;
        for (PoolWorker worker : mWorkers.apply(capacity.pool())) {
            if (worker.matchesLabel(step.mSpec)) {
                long fitting = WorkerSelector.fitCount(capacity.room(), worker.entry().capacity());
                count +=
                        capacity.maxPerWorker() > 0
                                ? Math.min(fitting, capacity.maxPerWorker())
                                : fitting;
            }
        }
        return count;
    }
}
