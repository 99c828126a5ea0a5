package org.hyssoprouter.internal.placement;

import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/**
 * Workers of one shard, with the room held on each and an index of those that may receive work. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class Fleet {
    private final RoomTracker mRoomTracker = new RoomTracker();
    private final WorkerIndex mIndex = new WorkerIndex();
    private final Map<String, FleetWorker> mWorkers = new LinkedHashMap<>();
    private final Set<String> mSingleAttemptWorkers = new HashSet<>();
    private Set<String> mReservedWorkers = Set.of();
    private boolean mReservedVisible;
    private Room mLargestCapacity = Room.NONE;

    /** Creates an empty fleet. */
    public Fleet() {}

    /** Adds a worker as not usable, or updates the rack and the capacity of a known one. */
    public void putWorker(String worker, String rack, Room capacity) {
        FleetWorker before = mWorkers.get(worker);
        FleetWorker after = new FleetWorker(rack, capacity, before != null && before.usable());
        if (after.equals(before)) {
            return;
        }
        mWorkers.put(worker, after);
        mRoomTracker.setCapacity(worker, capacity);
        updateLargestCapacity();
        updateIndex(worker);
    }

    /** Removes a worker on which no attempt holds room; its capacity is no longer counted. */
    public void removeWorker(String worker) {
        mWorkers.remove(worker);
        mRoomTracker.setCapacity(worker, Room.NONE);
        mSingleAttemptWorkers.remove(worker);
        updateLargestCapacity();
        mIndex.remove(worker);
    }

    /** Sets whether a worker may receive new work. */
    public void setUsable(String worker, boolean usable) {
        FleetWorker before = mWorkers.get(worker);
        if (before == null || before.usable() == usable) {
            return;
        }
        mWorkers.put(worker, new FleetWorker(before.rack(), before.capacity(), usable));
        updateIndex(worker);
    }

    /** Sets whether a worker may run only one attempt at a time. */
    public void setSingleAttempt(String worker, boolean single) {
        boolean changed =
                single ? mSingleAttemptWorkers.add(worker) : mSingleAttemptWorkers.remove(worker);
        if (changed) {
            updateIndex(worker);
        }
    }

    /** Replaces the set of workers reserved for one job; these are hidden from the index. */
    public void reserve(Set<String> workers) {
        Set<String> before = mReservedWorkers;
        mReservedWorkers = Set.copyOf(workers);
        before.forEach(this::updateIndex);
        mReservedWorkers.forEach(this::updateIndex);
    }

    /** Sets whether the index includes the reserved workers. */
    public void setReservedVisible(boolean visible) {
        if (mReservedVisible == visible) {
            return;
        }
        mReservedVisible = visible;
        mReservedWorkers.forEach(this::updateIndex);
    }

    /** Returns the names of all workers. */
    public Set<String> workers() {
        return Collections.unmodifiableSet(mWorkers.keySet());
    }

    /** Returns the capacity of the worker with the most processor time. */
    public Room largestCapacity() {
        return mLargestCapacity;
    }

    /** Returns whether a worker may receive new work. */
    public boolean isUsable(String worker) {
        FleetWorker entry = mWorkers.get(worker);
        return entry != null && entry.usable();
    }

    /** Holds room for a new attempt; returns false if the worker is not usable or has no room. */
    public boolean hold(String worker, AttemptId attempt, Room room) {
        boolean full = mSingleAttemptWorkers.contains(worker) && mRoomTracker.hasAttempts(worker);
        if (full || !isUsable(worker) || !mRoomTracker.hold(worker, attempt, room)) {
            return false;
        }
        updateIndex(worker);
        return true;
    }

    /** Holds room for an attempt that a worker already has, even if it exceeds the capacity. */
    public void forceHold(String worker, AttemptId attempt, Room room) {
        mRoomTracker.forceHold(worker, attempt, room);
        updateIndex(worker);
    }

    /** Releases the room of an attempt; does nothing if it holds none. */
    public void release(String worker, AttemptId attempt) {
        if (mRoomTracker.release(worker, attempt)) {
            updateIndex(worker);
        }
    }

    /** Returns the rack of a worker, or an empty string for an unknown one. */
    public String rackOf(String worker) {
        FleetWorker entry = mWorkers.get(worker);
        return entry == null ? "" : entry.rack();
    }

    /** Returns the attempts that hold room on a worker. */
    public List<AttemptId> attemptsOn(String worker) {
        return mRoomTracker.attemptsOn(worker);
    }

    /** Returns whether any attempt holds room on a worker. */
    public boolean hasAttempts(String worker) {
        return mRoomTracker.hasAttempts(worker);
    }

    /** Returns the index of the workers that may receive work. */
    public WorkerIndex index() {
        return mIndex;
    }

    /** Returns the tracker of the room held on each worker. */
    public RoomTracker roomTracker() {
        return mRoomTracker;
    }

    /** Returns whether the fleet has no workers. */
    public boolean isEmpty() {
        return mWorkers.isEmpty();
    }

    /**
     * Returns how many tasks of one size would fit if no attempt held any room.
     *
     * @param room room of each task
     * @param limit count at which to stop; the result may exceed it
     */
    public long maxTasks(Room room, long limit) {
        long count = 0;
        for (FleetWorker entry : mWorkers.values()) {
            count += tasksFittingIn(room, entry.capacity());
            if (count >= limit) {
                return count;
            }
        }
        return count;
    }

    /** Returns how many tasks of one size fit in a capacity. */
    static long tasksFittingIn(Room room, Room capacity) {
        // Bounded, so that a sum over many workers does not overflow.
        long count = Long.MAX_VALUE / 1_000_000;
        if (room.cpuMillis() > 0) {
            count = Math.min(count, capacity.cpuMillis() / room.cpuMillis());
        }
        if (room.memoryBytes() > 0) {
            count = Math.min(count, capacity.memoryBytes() / room.memoryBytes());
        }
        if (room.accelerators() > 0) {
            count = Math.min(count, capacity.accelerators() / room.accelerators());
        }
        return Math.max(0, count);
    }

    private void updateLargestCapacity() {
        mLargestCapacity = Room.NONE;
        for (FleetWorker entry : mWorkers.values()) {
            if (entry.capacity().cpuMillis() > mLargestCapacity.cpuMillis()) {
                mLargestCapacity = entry.capacity();
            }
        }
    }

    private void updateIndex(String worker) {
        FleetWorker entry = mWorkers.get(worker);
        boolean hidden = !mReservedVisible && mReservedWorkers.contains(worker);
        boolean full = mSingleAttemptWorkers.contains(worker) && mRoomTracker.hasAttempts(worker);
        if (entry == null || !entry.usable() || hidden || full) {
            mIndex.remove(worker);
            return;
        }
        mIndex.put(
                new AvailableWorker(
                        worker, entry.rack(), entry.capacity(), mRoomTracker.free(worker)));
    }

    private record FleetWorker(String rack, Room capacity, boolean usable) {}
}
