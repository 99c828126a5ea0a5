package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Packs tasks by best fit: each task goes to the worker with the least room left over, measured by
 * the resource with the larger remaining share. Tasks that need no accelerator use workers with
 * accelerators only if no other worker fits.
 *
 * @since 0.1
 */
public final class PackPolicy implements PlacementPolicy {
    // Number of fitting workers compared per task.
    private static final int MAX_CANDIDATES = 16;
    // Larger than any remaining share, which is at most 1, so the avoided worker is chosen last.
    private static final double AVOIDED_WORKER_PENALTY = 2;

    /** Creates the policy. */
    public PackPolicy() {}

    @Override
    public List<Assignment> place(PlacementRequest request, Fleet fleet) {
        List<Assignment> placed = new ArrayList<>();
        for (AttemptId attempt : request.attempts()) {
            AvailableWorker best =
                    chooseBest(request, fleet.index().tightestFits(request.room(), MAX_CANDIDATES));
            if (best == null || !fleet.hold(best.name(), attempt, request.room())) {
                break;
            }
            placed.add(new Assignment(attempt, best.name(), request.room()));
        }
        return placed;
    }

    private static @Nullable AvailableWorker chooseBest(
            PlacementRequest request, List<AvailableWorker> candidates) {
        AvailableWorker best = null;
        double smallestShare = Double.MAX_VALUE;
        for (AvailableWorker worker : candidates) {
            Room remaining = worker.free().minus(request.room());
            double share = largestFreeShare(remaining, worker.capacity());
            share += worker.name().equals(request.avoidedWorker()) ? AVOIDED_WORKER_PENALTY : 0;
            if (share < smallestShare) {
                smallestShare = share;
                best = worker;
            }
        }
        return best;
    }

    private static double largestFreeShare(Room remaining, Room capacity) {
        double cpu = remaining.cpuMillis() / (double) Math.max(1, capacity.cpuMillis());
        double memory = remaining.memoryBytes() / (double) Math.max(1, capacity.memoryBytes());
        return Math.max(cpu, memory);
    }
}
