package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * All tasks of a request get a worker in one step, or none does.
 *
 * @since 0.1
 */
public final class GangPolicy implements PlacementPolicy {
    private final PlacementPolicy mTaskPolicy;

    /**
     * Creates the policy.
     *
     * @param each policy that chooses for one task after the other
     */
    public GangPolicy(PlacementPolicy each) {
        mTaskPolicy = each;
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

    /** Rules out most gangs that do not fit without a search for each task. */
    private static boolean fitsInTotal(PlacementRequest request, Room free) {
        Room room = request.room();
        int count = request.attempts().size();
        return room.cpuMillis() * count <= free.cpuMillis()
                && room.memoryBytes() * count <= free.memoryBytes()
                && (long) room.accelerators() * count <= free.accelerators();
    }
}
