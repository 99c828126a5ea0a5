package org.hyssoprouter.internal.workspace;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.Room;

/**
 * Ledger of the room that each workspace uses in all pools of an owner. Room counts from the
 * decision to start a run until the run is proved to be over, whatever becomes of its workflow.
 * Work of no workspace is not counted. Not thread-safe.
 *
 * @since 0.3
 */
public final class WorkspaceUsage {
    private final Map<String, Room> mAllocated = new HashMap<>();
    private final Map<String, Room> mReserved = new HashMap<>();

    /** Counts the room of a run. */
    public void allocate(String workspace, Room room) {
        add(mAllocated, workspace, room);
    }

    /** Ends the count of the room of a run. */
    public void release(String workspace, Room room) {
        subtract(mAllocated, workspace, room);
    }

    /** Counts room that is kept free for a step that is about to start. */
    public void reserve(String workspace, Room room) {
        add(mReserved, workspace, room);
    }

    /** Ends the count of reserved room. */
    public void releaseReservation(String workspace, Room room) {
        subtract(mReserved, workspace, room);
    }

    /** Returns the workspaces with runs. */
    public Set<String> activeWorkspaces() {
        return mAllocated.keySet();
    }

    /** Returns the room of the runs of a workspace. */
    public Room allocatedTo(String workspace) {
        return mAllocated.getOrDefault(workspace, Room.NONE);
    }

    /** Returns the room of the runs and of the reservations of a workspace. */
    public Room heldBy(String workspace) {
        return allocatedTo(workspace).plus(mReserved.getOrDefault(workspace, Room.NONE));
    }

    private static void add(Map<String, Room> rooms, String workspace, Room room) {
        if (!workspace.isEmpty()) {
            rooms.merge(workspace, room, Room::plus);
        }
    }

    private static void subtract(Map<String, Room> rooms, String workspace, Room room) {
        if (!workspace.isEmpty()) {
            rooms.merge(workspace, Room.NONE.minus(room), Room::plus);
            rooms.remove(workspace, Room.NONE);
        }
    }
}
