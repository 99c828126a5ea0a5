package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Spreads the tasks of a job over racks and workers. Each task goes to the rack with the fewest
 * tasks of the job, within it to the worker with the fewest, and among equals to the worker with
 * the most free processor time.
 *
 * @since 0.1
 */
public final class SpreadPolicy implements PlacementPolicy {
    // Limit of the racks compared per task, and of the workers compared per rack.
    private static final int MAX_CANDIDATES = 16;

    /** Creates the policy. */
    public SpreadPolicy() {}

    @Override
    public List<Assignment> place(PlacementRequest request, Fleet fleet) {
        List<Assignment> placed = new ArrayList<>();
        TaskSpread addedSpread = new TaskSpread();
        for (AttemptId attempt : request.attempts()) {
            AvailableWorker best = choose(attempt, request, addedSpread, fleet.index());
            if (best == null || !fleet.hold(best.name(), attempt, request.room())) {
                break;
            }
            addedSpread.add(best.name(), best.rack());
            placed.add(new Assignment(attempt, best.name(), request.room()));
        }
        return placed;
    }

    private static @Nullable AvailableWorker choose(
            AttemptId attempt,
            PlacementRequest request,
            TaskSpread addedSpread,
            WorkerIndex index) {
        CandidateComparator comparator = new CandidateComparator(request, addedSpread);
        List<String> racks = index.rackNames();
        AvailableWorker best = null;
        int compared = 0;
        for (int i = 0; i < racks.size() && compared < MAX_CANDIDATES; i++) {
            // The start depends on the task, so that a sample of the racks favours no rack.
            int rackIndex = Math.floorMod(attempt.task().hashCode() + i, racks.size());
            AvailableWorker worker =
                    comparator.chooseBest(index.rack(racks.get(rackIndex)), request.room());
            if (worker == null) {
                continue;
            }
            compared++;
            if (best == null || comparator.compare(worker, best) < 0) {
                best = worker;
            }
        }
        return best;
    }

    /** Compares workers by the number of tasks of the job on them and on their racks. */
    private static final class CandidateComparator {
        private final TaskSpread mPlacedSpread;
        private final TaskSpread mAddedSpread;
        private final String mAvoidedWorker;

        CandidateComparator(PlacementRequest request, TaskSpread addedSpread) {
            mPlacedSpread = request.spread();
            mAvoidedWorker = request.avoidedWorker();
            mAddedSpread = addedSpread;
        }

        int compare(AvailableWorker a, AvailableWorker b) {
            int byAvoid = Boolean.compare(isAvoided(a), isAvoided(b));
            if (byAvoid != 0) {
                return byAvoid;
            }
            int byRack = Integer.compare(onRack(a), onRack(b));
            if (byRack != 0) {
                return byRack;
            }
            int byWorker = Integer.compare(onWorker(a), onWorker(b));
            if (byWorker != 0) {
                return byWorker;
            }
            return Long.compare(b.free().cpuMillis(), a.free().cpuMillis());
        }

        /** Returns the best fitting worker of a rack, or null. */
        @Nullable AvailableWorker chooseBest(NavigableSet<AvailableWorker> rack, Room room) {
            AvailableWorker best = null;
            int probes = 0;
            for (AvailableWorker worker : rack.descendingSet()) {
                if (probes++ >= MAX_CANDIDATES) {
                    break;
                }
                if (room.fitsIn(worker.free()) && (best == null || compare(worker, best) < 0)) {
                    best = worker;
                }
            }
            return best != null ? best : WorkerIndex.loosestFit(rack, room);
        }

        private boolean isAvoided(AvailableWorker worker) {
            return worker.name().equals(mAvoidedWorker);
        }

        private int onRack(AvailableWorker worker) {
            return mPlacedSpread.onRack(worker.rack()) + mAddedSpread.onRack(worker.rack());
        }

        private int onWorker(AvailableWorker worker) {
            return mPlacedSpread.onWorker(worker.name()) + mAddedSpread.onWorker(worker.name());
        }
    }
}
