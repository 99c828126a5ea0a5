package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Best fit: each task goes to the worker that it leaves with the least room over, judged by the
 * resource of which most would be left. Workers with accelerators come last for tasks without.
 *
 * @since 0.1
 */
public final class PackPolicy implements PlacementPolicy {
    private static final int MAX_CANDIDATES = 16;
    // More than any share of a worker can be left over.
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
            PlacementRequest request, List<AvailableWorker> sample) {
        AvailableWorker best = null;
        double least = Double.MAX_VALUE;
        for (AvailableWorker worker : sample) {
            Room over = worker.free().minus(request.room());
            double left = largestFreeShare(over, worker.capacity());
            left += worker.name().equals(request.avoidedWorker()) ? AVOIDED_WORKER_PENALTY : 0;
            if (left < least) {
                least = left;
                best = worker;
            }
        }
        return best;
    }

    private static double largestFreeShare(Room left, Room capacity) {
        double cpu = left.cpuMillis() / (double) Math.max(1, capacity.cpuMillis());
        double memory = left.memoryBytes() / (double) Math.max(1, capacity.memoryBytes());
        return Math.max(cpu, memory);
    }
}
