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
    private final Map<String, WorkerRoom> mRoomByWorker = new HashMap<>();

    /** Creates a tracker without workers. */
    public RoomTracker() {}

    /** Adds a worker, or changes the capacity of a known one. */
    public void setCapacity(String worker, Room capacity) {
        workerRoom(worker).mCapacity = capacity;
    }

    /**
     * Holds room for a new attempt.
     *
     * @return false if the free room is too small or the worker is unknown; nothing is held then
     */
    public boolean hold(String worker, AttemptId attempt, Room room) {
        WorkerRoom workerRoom = mRoomByWorker.get(worker);
        if (workerRoom == null || !room.fitsIn(workerRoom.free())) {
            return false;
        }
        workerRoom.put(attempt, room);
        return true;
    }

    /**
     * Holds room for an attempt that a worker already has, even if that exceeds its capacity. The
     * free room is then negative, so that nothing else fits.
     */
    public void forceHold(String worker, AttemptId attempt, Room room) {
        workerRoom(worker).put(attempt, room);
    }

    /** Releases the room of an attempt and returns whether it held any. */
    public boolean release(String worker, AttemptId attempt) {
        WorkerRoom workerRoom = mRoomByWorker.get(worker);
        return workerRoom != null && workerRoom.remove(attempt);
    }

    /** Returns capacity less held room; a component is negative on an overcommitted worker. */
    public Room free(String worker) {
        WorkerRoom workerRoom = mRoomByWorker.get(worker);
        return workerRoom == null ? Room.NONE : workerRoom.free();
    }

    /** Returns the capacity, or {@link Room#NONE} for an unknown worker. */
    public Room capacity(String worker) {
        WorkerRoom workerRoom = mRoomByWorker.get(worker);
        return workerRoom == null ? Room.NONE : workerRoom.mCapacity;
    }

    /** Returns the room that an attempt holds, or null if it holds none. */
    public @Nullable Room heldBy(String worker, AttemptId attempt) {
        WorkerRoom workerRoom = mRoomByWorker.get(worker);
        return workerRoom == null ? null : workerRoom.mRoomByAttempt.get(attempt);
    }

    /** Returns the attempts that hold room on a worker, oldest first. */
    public List<AttemptId> attemptsOn(String worker) {
        WorkerRoom workerRoom = mRoomByWorker.get(worker);
        return workerRoom == null ? List.of() : List.copyOf(workerRoom.mRoomByAttempt.keySet());
    }

    /** Returns whether any attempt holds room on a worker. */
    public boolean hasAttempts(String worker) {
        WorkerRoom workerRoom = mRoomByWorker.get(worker);
        return workerRoom != null && !workerRoom.mRoomByAttempt.isEmpty();
    }

    private WorkerRoom workerRoom(String worker) {
        return mRoomByWorker.computeIfAbsent(worker, name -> new WorkerRoom());
    }

    private static final class WorkerRoom {
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
