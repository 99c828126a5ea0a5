package org.hyssoprouter.internal.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Room that attempts hold on each worker. An attempt holds its room until it is known to run
 * nowhere, also while the lease of its worker lapses or its start is in doubt. Not thread-safe.
 *
 * @since 0.1
 */
public final class RoomTracker {
    private final Map<String, Account> mAccounts = new HashMap<>();

    /** Creates a ledger without workers. */
    public RoomTracker() {}

    /** Adds a worker, or changes the capacity of a known one. */
    public void setCapacity(String worker, Room capacity) {
        account(worker).mCapacity = capacity;
    }

    /**
     * Holds room for a new attempt.
     *
     * @return whether it fitted; nothing is held otherwise
     */
    public boolean hold(String worker, AttemptId attempt, Room room) {
        Account account = mAccounts.get(worker);
        if (account == null || !room.fitsIn(account.free())) {
            return false;
        }
        account.put(attempt, room);
        return true;
    }

    /**
     * Records an attempt that a worker already has, even if that exceeds its capacity; the worker
     * then has negative free room and fits nothing.
     */
    public void forceHold(String worker, AttemptId attempt, Room room) {
        account(worker).put(attempt, room);
    }

    /** Frees the room of an attempt and returns whether it held any. */
    public boolean release(String worker, AttemptId attempt) {
        Account account = mAccounts.get(worker);
        return account != null && account.remove(attempt);
    }

    /** Returns capacity less held room; a component is negative on an overfilled worker. */
    public Room free(String worker) {
        Account account = mAccounts.get(worker);
        return account == null ? Room.NONE : account.free();
    }

    /** Returns the capacity, or no room for an unknown worker. */
    public Room capacity(String worker) {
        Account account = mAccounts.get(worker);
        return account == null ? Room.NONE : account.mCapacity;
    }

    /** Returns the room that an attempt holds, or null. */
    public @Nullable Room heldBy(String worker, AttemptId attempt) {
        Account account = mAccounts.get(worker);
        return account == null ? null : account.mHolds.get(attempt);
    }

    /** Returns the attempts that hold room on a worker, oldest first. */
    public List<AttemptId> attemptsOn(String worker) {
        Account account = mAccounts.get(worker);
        return account == null ? List.of() : List.copyOf(account.mHolds.keySet());
    }

    /** Returns whether any attempt holds room on a worker. */
    public boolean hasAttempts(String worker) {
        Account account = mAccounts.get(worker);
        return account != null && !account.mHolds.isEmpty();
    }

    private Account account(String worker) {
        return mAccounts.computeIfAbsent(worker, name -> new Account());
    }

    private static final class Account {
        private final Map<AttemptId, Room> mHolds = new LinkedHashMap<>();
        private Room mCapacity = Room.NONE;
        private Room mHeld = Room.NONE;

        Room free() {
            return mCapacity.minus(mHeld);
        }

        void put(AttemptId attempt, Room room) {
            Room before = mHolds.put(attempt, room);
            mHeld = mHeld.plus(room);
            if (before != null) {
                mHeld = mHeld.minus(before);
            }
        }

        boolean remove(AttemptId attempt) {
            Room before = mHolds.remove(attempt);
            if (before == null) {
                return false;
            }
            mHeld = mHeld.minus(before);
            return true;
        }
    }
}
