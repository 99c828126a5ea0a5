package org.hyssoprouter.internal.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the room that attempts hold on each worker. An attempt holds its room until it is certain
 * that it does not run, even while the lease of its worker expires or the outcome of its start is
 * unknown. Not thread-safe.
 *
 * @since 0.1
 */
public final class RoomTracker {
    private final Map<String, WorkerAccount> mAccounts = new HashMap<>();

    /** Creates a ledger without workers. */
    public RoomTracker() {}

    /** Adds a worker, or changes the capacity of a known one. */
    public void setCapacity(String worker, Room capacity) {
        account(worker).mCapacity = capacity;
    }

    /**
     * Holds room for a new attempt.
     *
     * @return false if the free room is too small or the worker is unknown; nothing is held then
     */
    public boolean hold(String worker, AttemptId attempt, Room room) {
        WorkerAccount account = mAccounts.get(worker);
        if (account == null || !room.fitsIn(account.free())) {
            return false;
        }
        account.put(attempt, room);
        return true;
    }

    /**
     * Holds room for an attempt that a worker already has, even if that exceeds its capacity. The
     * free room is then negative, so that nothing else fits.
     */
    public void forceHold(String worker, AttemptId attempt, Room room) {
        account(worker).put(attempt, room);
    }

    /** Releases the room of an attempt and returns whether it held any. */
    public boolean release(String worker, AttemptId attempt) {
        WorkerAccount account = mAccounts.get(worker);
        return account != null && account.remove(attempt);
    }

    /** Returns capacity less held room; a component is negative on an overcommitted worker. */
    public Room free(String worker) {
        WorkerAccount account = mAccounts.get(worker);
        return account == null ? Room.NONE : account.free();
    }

    /** Returns the capacity, or {@link Room#NONE} for an unknown worker. */
    public Room capacity(String worker) {
        WorkerAccount account = mAccounts.get(worker);
        return account == null ? Room.NONE : account.mCapacity;
    }

    /** Returns the room that an attempt holds, or null if it holds none. */
    public @Nullable Room heldBy(String worker, AttemptId attempt) {
        WorkerAccount account = mAccounts.get(worker);
        return account == null ? null : account.mRoomByAttempt.get(attempt);
    }

    /** Returns the attempts that hold room on a worker, oldest first. */
    public List<AttemptId> attemptsOn(String worker) {
        WorkerAccount account = mAccounts.get(worker);
        return account == null ? List.of() : List.copyOf(account.mRoomByAttempt.keySet());
    }

    /** Returns whether any attempt holds room on a worker. */
    public boolean hasAttempts(String worker) {
        WorkerAccount account = mAccounts.get(worker);
        return account != null && !account.mRoomByAttempt.isEmpty();
    }

    private WorkerAccount account(String worker) {
        return mAccounts.computeIfAbsent(worker, name -> new WorkerAccount());
    }

    private static final class WorkerAccount {
        private final Map<AttemptId, Room> mRoomByAttempt = new LinkedHashMap<>();
        private Room mCapacity = Room.NONE;
        private Room mHeld = Room.NONE;

        Room free() {
            return mCapacity.minus(mHeld);
        }

        void put(AttemptId attempt, Room room) {
            Room previous = mRoomByAttempt.put(attempt, room);
            mHeld = mHeld.plus(room);
            if (previous != null) {
                mHeld = mHeld.minus(previous);
            }
        }

        boolean remove(AttemptId attempt) {
            Room previous = mRoomByAttempt.remove(attempt);
            if (previous == null) {
                return false;
            }
            mHeld = mHeld.minus(previous);
            return true;
        }
    }
}
