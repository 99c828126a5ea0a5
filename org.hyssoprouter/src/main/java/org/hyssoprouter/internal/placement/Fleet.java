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
 * Workers of one shard: what each holds, and an index of those that may receive work. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class Fleet {
    private final RoomLedger mLedger = new RoomLedger();
    private final WorkerIndex mIndex = new WorkerIndex();
    private final Map<String, WorkerEntry> mWorkers = new LinkedHashMap<>();
    private final Set<String> mSingleAttemptWorkers = new HashSet<>();
    private Set<String> mReservedWorkers = Set.of();
    private boolean mReservedVisible;
    private Room mLargestCapacity = Room.NONE;

    /** Creates a fleet without workers. */
    public Fleet() {}

    /** Adds a worker that may not receive work yet, or changes what is known of it. */
    public void putWorker(String worker, String rack, Room capacity) {
        WorkerEntry before = mWorkers.get(worker);
        WorkerEntry after = new WorkerEntry(rack, capacity, before != null && before.usable());
        if (after.equals(before)) {
            return;
        }
        mWorkers.put(worker, after);
        mLedger.setCapacity(worker, capacity);
        updateLargestCapacity();
        updateIndex(worker);
    }

    /** Forgets a worker that holds nothing; it counts no more for what can ever run. */
    public void removeWorker(String worker) {
        mWorkers.remove(worker);
        mLedger.setCapacity(worker, Room.NONE);
        mSingleAttemptWorkers.remove(worker);
        updateLargestCapacity();
        mIndex.remove(worker);
    }

    /** Says whether a worker may receive new work. */
    public void setUsable(String worker, boolean usable) {
        WorkerEntry before = mWorkers.get(worker);
        if (before == null || before.usable() == usable) {
            return;
        }
        mWorkers.put(worker, new WorkerEntry(before.rack(), before.capacity(), usable));
        updateIndex(worker);
    }

    /** Says whether a worker may have only one attempt at a time. */
    public void setSingleAttempt(String worker, boolean single) {
        boolean changed =
                single ? mSingleAttemptWorkers.add(worker) : mSingleAttemptWorkers.remove(worker);
        if (changed) {
            updateIndex(worker);
        }
    }

    /** Keeps workers out of the index for one job, until another set takes their place. */
    public void reserve(Set<String> workers) {
        Set<String> before = mReservedWorkers;
        mReservedWorkers = Set.copyOf(workers);
        before.forEach(this::updateIndex);
        mReservedWorkers.forEach(this::updateIndex);
    }

    /** Shows the reserved workers in the index, or hides them again. */
    public void setReservedVisible(boolean shown) {
        if (mReservedVisible == shown) {
            return;
        }
        mReservedVisible = shown;
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
        WorkerEntry member = mWorkers.get(worker);
        return member != null && member.usable();
    }

    /** Holds room for a new attempt on a usable worker; returns whether it fitted. */
    public boolean hold(String worker, AttemptId attempt, Room room) {
        boolean full = mSingleAttemptWorkers.contains(worker) && mLedger.hasAttempts(worker);
        if (full || !isUsable(worker) || !mLedger.hold(worker, attempt, room)) {
            return false;
        }
        updateIndex(worker);
        return true;
    }

    /** Records an attempt that a worker already has. */
    public void forceHold(String worker, AttemptId attempt, Room room) {
        mLedger.forceHold(worker, attempt, room);
        updateIndex(worker);
    }

    /** Frees the room of an attempt; does nothing if it holds none. */
    public void release(String worker, AttemptId attempt) {
        if (mLedger.release(worker, attempt)) {
            updateIndex(worker);
        }
    }

    /** Returns the rack of a worker, or an empty text for an unknown one. */
    public String rackOf(String worker) {
        WorkerEntry member = mWorkers.get(worker);
        return member == null ? "" : member.rack();
    }

    /** Returns the attempts that hold room on a worker. */
    public List<AttemptId> attemptsOn(String worker) {
        return mLedger.attemptsOn(worker);
    }

    /** Returns whether any attempt holds room on a worker. */
    public boolean hasAttempts(String worker) {
        return mLedger.hasAttempts(worker);
    }

    /** Returns the index of the workers that may receive work. */
    public WorkerIndex index() {
        return mIndex;
    }

    /** Returns the ledger. */
    public RoomLedger ledger() {
        return mLedger;
    }

    /** Returns whether there is no worker at all. */
    public boolean isEmpty() {
        return mWorkers.isEmpty();
    }

    /**
     * Returns how many tasks of one size would fit if the whole shard were free.
     *
     * @param enough count at which to stop counting
     */
    public long maxTasks(Room room, long enough) {
        long count = 0;
        for (WorkerEntry member : mWorkers.values()) {
            count += tasksFittingIn(room, member.capacity());
            if (count >= enough) {
                return count;
            }
        }
        return count;
    }

    static long tasksFittingIn(Room room, Room capacity) {
        long times = Long.MAX_VALUE / 1_000_000;
        if (room.cpuMillis() > 0) {
            times = Math.min(times, capacity.cpuMillis() / room.cpuMillis());
        }
        if (room.memoryBytes() > 0) {
            times = Math.min(times, capacity.memoryBytes() / room.memoryBytes());
        }
        if (room.accelerators() > 0) {
            times = Math.min(times, capacity.accelerators() / room.accelerators());
        }
        return Math.max(0, times);
    }

    private void updateLargestCapacity() {
        mLargestCapacity = Room.NONE;
        for (WorkerEntry member : mWorkers.values()) {
            if (member.capacity().cpuMillis() > mLargestCapacity.cpuMillis()) {
                mLargestCapacity = member.capacity();
            }
        }
    }

    private void updateIndex(String worker) {
        WorkerEntry member = mWorkers.get(worker);
        boolean hidden = !mReservedVisible && mReservedWorkers.contains(worker);
        boolean full = mSingleAttemptWorkers.contains(worker) && mLedger.hasAttempts(worker);
        if (member == null || !member.usable() || hidden || full) {
            mIndex.remove(worker);
            return;
        }
        mIndex.put(
                new AvailableWorker(
                        worker, member.rack(), member.capacity(), mLedger.free(worker)));
    }

    private record WorkerEntry(String rack, Room capacity, boolean usable) {}
}
