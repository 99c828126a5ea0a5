package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hyssoprouter.lib.Room;
import org.jspecify.annotations.Nullable;

/**
 * Index of the workers that may receive work, sorted by free room, so that a placement examines
 * only a bounded number of them. Not thread-safe.
 *
 * @since 0.1
 */
public final class WorkerIndex {
    private static final Comparator<AvailableWorker> BY_CPU =
            Comparator.<AvailableWorker>comparingLong(w -> w.free().cpuMillis())
                    .thenComparing(AvailableWorker::name);
    private static final Comparator<AvailableWorker> BY_MEMORY =
            Comparator.<AvailableWorker>comparingLong(w -> w.free().memoryBytes())
                    .thenComparing(AvailableWorker::name);
    // Workers examined per search.
    private static final int MAX_PROBES = 64;

    private final Map<String, AvailableWorker> mWorkers = new HashMap<>();
    private final TreeMap<String, NavigableSet<AvailableWorker>> mRacks = new TreeMap<>();
    private @Nullable List<String> mRackNames;
    private final SortedWorkers mWithoutAccelerators = new SortedWorkers();
    private final SortedWorkers mWithAccelerators = new SortedWorkers();
    private Room mTotalFree = Room.NONE;

    /** Creates an empty index. */
    public WorkerIndex() {}

    /** Adds a worker, or replaces its entry. */
    public void put(AvailableWorker worker) {
        remove(worker.name());
        mWorkers.put(worker.name(), worker);
        sortedWorkersOf(worker).add(worker);
        mRacks.computeIfAbsent(worker.rack(), this::newRack).add(worker);
        mTotalFree = mTotalFree.plus(worker.free());
    }

    /** Removes a worker if it is indexed. */
    public void remove(String name) {
        AvailableWorker before = mWorkers.remove(name);
        if (before == null) {
            return;
        }
        sortedWorkersOf(before).remove(before);
        mTotalFree = mTotalFree.minus(before.free());
        NavigableSet<AvailableWorker> rack = mRacks.get(before.rack());
        if (rack == null) {
            return;
        }
        rack.remove(before);
        if (rack.isEmpty()) {
            mRacks.remove(before.rack());
            mRackNames = null;
        }
    }

    private NavigableSet<AvailableWorker> newRack(String name) {
        mRackNames = null;
        return new TreeSet<>(BY_CPU);
    }

    /** Returns the sum of the free room of all workers. */
    public Room totalFree() {
        return mTotalFree;
    }

    /** Returns the free room of the worker that has the most processor time free. */
    public Room largestFree() {
        AvailableWorker plain = mWithoutAccelerators.largest();
        AvailableWorker accelerated = mWithAccelerators.largest();
        if (plain == null) {
            return accelerated == null ? Room.NONE : accelerated.free();
        }
        if (accelerated == null || BY_CPU.compare(plain, accelerated) >= 0) {
            return plain.free();
        }
        return accelerated.free();
    }

    /** Returns the names of the racks with workers, sorted. */
    public List<String> rackNames() {
        if (mRackNames == null) {
            mRackNames = List.copyOf(mRacks.keySet());
        }
        return mRackNames;
    }

    /** Returns the workers of a rack in ascending order of free processor time. */
    public NavigableSet<AvailableWorker> rack(String name) {
        return mRacks.getOrDefault(name, Collections.emptyNavigableSet());
    }

    /**
     * Returns workers that fit {@code demand}, starting with the least free amount of the scarcer
     * of processor time and memory. If none of these has enough of the other resources, workers
     * with the most free room are tried instead. Workers with accelerators are returned only if the
     * demand needs them or no other worker fits.
     *
     * @param demand room that each worker must have free
     * @param limit maximum number of workers to return
     */
    public List<AvailableWorker> tightestFits(Room demand, int limit) {
        if (demand.accelerators() > 0) {
            return mWithAccelerators.tightest(demand, isMemoryScarce(demand), limit);
        }
        List<AvailableWorker> plain =
                mWithoutAccelerators.tightest(demand, isMemoryScarce(demand), limit);
        if (!plain.isEmpty()) {
            return plain;
        }
        return mWithAccelerators.tightest(demand, isMemoryScarce(demand), limit);
    }

    /** Returns the fitting worker of a rack with the most free processor time, or null. */
    public static @Nullable AvailableWorker loosestFit(
            NavigableSet<AvailableWorker> rack, Room demand) {
        Iterator<AvailableWorker> descending = rack.descendingIterator();
        for (int i = 0; i < MAX_PROBES && descending.hasNext(); i++) {
            AvailableWorker worker = descending.next();
            if (demand.fitsIn(worker.free())) {
                return worker;
            }
        }
        return null;
    }

    /**
     * Returns whether the demand takes a larger share of all free memory than of processor time.
     */
    private boolean isMemoryScarce(Room demand) {
        double cpuShare = share(demand.cpuMillis(), mTotalFree.cpuMillis());
        double memoryShare = share(demand.memoryBytes(), mTotalFree.memoryBytes());
        return memoryShare > cpuShare;
    }

    private static double share(long part, long whole) {
        return part / (double) Math.max(1, whole);
    }

    private SortedWorkers sortedWorkersOf(AvailableWorker worker) {
        return worker.capacity().accelerators() > 0 ? mWithAccelerators : mWithoutAccelerators;
    }

    /** Workers sorted by the free amount of each resource. */
    private static final class SortedWorkers {
        private final TreeSet<AvailableWorker> mByCpu = new TreeSet<>(BY_CPU);
        private final TreeSet<AvailableWorker> mByMemory = new TreeSet<>(BY_MEMORY);

        void add(AvailableWorker worker) {
            mByCpu.add(worker);
            mByMemory.add(worker);
        }

        void remove(AvailableWorker worker) {
            mByCpu.remove(worker);
            mByMemory.remove(worker);
        }

        @Nullable AvailableWorker largest() {
            return mByCpu.isEmpty() ? null : mByCpu.last();
        }

        List<AvailableWorker> tightest(Room demand, boolean byMemory, int limit) {
            TreeSet<AvailableWorker> order = byMemory ? mByMemory : mByCpu;
            AvailableWorker from = new AvailableWorker("", "", demand, demand);
            List<AvailableWorker> found = new ArrayList<>();
            collectFits(order.tailSet(from, true).iterator(), demand, limit, found);
            if (found.isEmpty()) {
                // The examined workers lack the other resource; those with the most of it may still
                // fit.
                TreeSet<AvailableWorker> other = byMemory ? mByCpu : mByMemory;
                collectFits(other.descendingIterator(), demand, limit, found);
            }
            if (found.isEmpty()) {
                collectFits(order.descendingIterator(), demand, limit, found);
            }
            return found;
        }

        /** Adds fitting workers among the next MAX_PROBES ones to a list, up to a limit. */
        private static void collectFits(
                Iterator<AvailableWorker> workers,
                Room demand,
                int limit,
                List<AvailableWorker> found) {
            for (int i = 0; i < MAX_PROBES && found.size() < limit && workers.hasNext(); i++) {
                AvailableWorker worker = workers.next();
                if (demand.fitsIn(worker.free())) {
                    found.add(worker);
                }
            }
        }
    }
}
