package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * Places all tasks of a request in one step, or none of them.
 *
 * @since 0.1
 */
public final class GangPolicy implements PlacementPolicy {
    private final PlacementPolicy mTaskPolicy;

    /**
     * Creates the policy.
     *
     * @param taskPolicy policy that chooses a worker for each task
     */
    public GangPolicy(PlacementPolicy taskPolicy) {
        mTaskPolicy = taskPolicy;
    }

    @Override
    public List<Assignment> place(PlacementRequest request, Fleet fleet) {
        if (!fitsInTotal(request, fleet.index().totalFree())) {
            return List.of();
        }
        List<Assignment> placed = mTaskPolicy.place(request, fleet);
        if (placed.size() == request.attempts().size()) {
            return placed;
        }
        for (Assignment assignment : placed) {
            fleet.release(assignment.worker(), assignment.attempt());
        }
        return List.of();
    }

    /** Checks the total free room first, which rejects most gangs without a search per task. */
    private static boolean fitsInTotal(PlacementRequest request, Room free) {
        Room room = request.room();
        int count = request.attempts().size();
        return room.cpuMillis() * count <= free.cpuMillis()
                && room.memoryBytes() * count <= free.memoryBytes()
                && (long) room.accelerators() * count <= free.accelerators();
    }
}
