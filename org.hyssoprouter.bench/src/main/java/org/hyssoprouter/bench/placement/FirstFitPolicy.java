package org.hyssoprouter.bench.placement;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.internal.placement.Assignment;
import org.hyssoprouter.internal.placement.Fleet;
import org.hyssoprouter.internal.placement.PlacementPolicy;
import org.hyssoprouter.internal.placement.PlacementRequest;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/** Baseline policy that places each task on the first worker, in a fixed order, with room. */
final class FirstFitPolicy implements PlacementPolicy {
    @Override
    public List<Assignment> place(PlacementRequest request, Fleet fleet) {
        List<Assignment> placed = new ArrayList<>();
        for (AttemptId attempt : request.attempts()) {
            for (String worker : fleet.workers()) {
                if (fleet.hold(worker, attempt, request.room())) {
                    placed.add(new Assignment(attempt, worker, request.room()));
                    break;
                }
            }
        }
        return placed;
    }
}
