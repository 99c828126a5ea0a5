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
    private final RoomTracker mLedger = new RoomTracker();
    private final WorkerIndex mIndex = new WorkerIndex();
    private final Map<String, Member> mMembers = new LinkedHashMap<>();
    private final Set<String> mSingle = new HashSet<>();
    private Set<String> mReserved = Set.of();
    private boolean mReservedShown;
    private Room mLargest = Room.NONE;

    /** Creates a fleet without workers. */
    public Fleet() {}

    /** Adds a worker that may not receive work yet, or changes what is known of it. */
    public void putWorker(String worker, String rack, Room capacity) {
        Member before = mMembers.get(worker);
        Member after = new Member(rack, capacity, before != null && before.usable());
        if (after.equals(before)) {
            return;
        }
        mMembers.put(worker, after);
        mLedger.setCapacity(worker, capacity);
        findLargest();
        reindex(worker);
    }

    /** Forgets a worker that holds nothing; it counts no more for what can ever run. */
    public void removeWorker(String worker) {
        mMembers.remove(worker);
        mLedger.setCapacity(worker, Room.NONE);
        mSingle.remove(worker);
        findLargest();
        mIndex.remove(worker);
    }

    /** Says whether a worker may receive new work. */
    public void setUsable(String worker, boolean usable) {
        Member before = mMembers.get(worker);
        if (before == null || before.usable() == usable) {
            return;
        }
        mMembers.put(worker, new Member(before.rack(), before.capacity(), usable));
        reindex(worker);
    }

    /** Says whether a worker may have only one attempt at a time. */
    public void setSingleAttempt(String worker, boolean single) {
        boolean changed = single ? mSingle.add(worker) : mSingle.remove(worker);
        if (changed) {
            reindex(worker);
        }
    }

    /** Keeps workers out of the index for one job, until another set takes their place. */
    public void reserve(Set<String> workers) {
        Set<String> before = mReserved;
        mReserved = Set.copyOf(workers);
        before.forEach(this::reindex);
        mReserved.forEach(this::reindex);
    }

    /** Shows the reserved workers in the index, or hides them again. */
    public void setReservedVisible(boolean shown) {
        if (mReservedShown == shown) {
            return;
        }
        mReservedShown = shown;
        mReserved.forEach(this::reindex);
    }

    /** Returns the names of all workers. */
    public Set<String> workers() {
        return Collections.unmodifiableSet(mMembers.keySet());
    }

    /** Returns the capacity of the worker with the most processor time. */
    public Room largestCapacity() {
        return mLargest;
    }

    /** Returns whether a worker may receive new work. */
    public boolean isUsable(String worker) {
        Member member = mMembers.get(worker);
        return member != null && member.usable();
    }

    /** Holds room for a new attempt on a usable worker; returns whether it fitted. */
    public boolean hold(String worker, AttemptId attempt, Room room) {
        boolean full = mSingle.contains(worker) && mLedger.hasAttempts(worker);
        if (full || !isUsable(worker) || !mLedger.hold(worker, attempt, room)) {
            return false;
        }
        reindex(worker);
        return true;
    }

    /** Records an attempt that a worker already has. */
    public void forceHold(String worker, AttemptId attempt, Room room) {
        mLedger.forceHold(worker, attempt, room);
        reindex(worker);
    }

    /** Frees the room of an attempt; does nothing if it holds none. */
    public void release(String worker, AttemptId attempt) {
        if (mLedger.release(worker, attempt)) {
            reindex(worker);
        }
    }

    /** Returns the rack of a worker, or an empty text for an unknown one. */
    public String rackOf(String worker) {
        Member member = mMembers.get(worker);
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
    public RoomTracker roomTracker() {
        return mLedger;
    }

    /** Returns whether there is no worker at all. */
    public boolean isEmpty() {
        return mMembers.isEmpty();
    }

    /**
     * Returns how many tasks of one size would fit if the whole shard were free.
     *
     * @param enough count at which to stop counting
     */
    public long maxTasks(Room room, long enough) {
        long count = 0;
        for (Member member : mMembers.values()) {
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

    private void findLargest() {
        mLargest = Room.NONE;
        for (Member member : mMembers.values()) {
            if (member.capacity().cpuMillis() > mLargest.cpuMillis()) {
                mLargest = member.capacity();
            }
        }
    }

    private void reindex(String worker) {
        Member member = mMembers.get(worker);
        boolean hidden = !mReservedShown && mReserved.contains(worker);
        boolean full = mSingle.contains(worker) && mLedger.hasAttempts(worker);
        if (member == null || !member.usable() || hidden || full) {
            mIndex.remove(worker);
            return;
        }
        mIndex.put(
                new AvailableWorker(
                        worker, member.rack(), member.capacity(), mLedger.free(worker)));
    }

    private record Member(String rack, Room capacity, boolean usable) {}
}
