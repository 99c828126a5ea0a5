package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableSet;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Spreads the tasks of a job: each goes to the rack with the fewest of them, there to the worker
 * with the fewest, and among equals to the one with the most room.
 *
 * @since 0.1
 */
public final class SpreadPolicy implements PlacementPolicy {
    private static final int MAX_CANDIDATES = 16;

    /** Creates the policy. */
    public SpreadPolicy() {}

    @Override
    public List<Assignment> place(PlacementRequest request, Fleet fleet) {
        List<Assignment> placed = new ArrayList<>();
        TaskSpread added = new TaskSpread();
        for (AttemptId attempt : request.attempts()) {
            AvailableWorker best = choose(attempt, request, added, fleet.index());
            if (best == null || !fleet.hold(best.name(), attempt, request.room())) {
                break;
            }
            added.add(best.name(), best.rack());
            placed.add(new Assignment(attempt, best.name(), request.room()));
        }
        return placed;
    }

    private static @Nullable AvailableWorker choose(
            AttemptId attempt, PlacementRequest request, TaskSpread added, WorkerIndex index) {
        CandidateComparator counter = new CandidateComparator(request, added);
        List<String> racks = index.rackNames();
        AvailableWorker best = null;
        int seen = 0;
        for (int i = 0; i < racks.size() && seen < MAX_CANDIDATES; i++) {
            // Each task starts at another rack, so that a sample of the racks favours none.
            int at = Math.floorMod(attempt.task().hashCode() + i, racks.size());
            AvailableWorker worker = counter.chooseBest(index.rack(racks.get(at)), request.room());
            if (worker == null) {
                continue;
            }
            seen++;
            if (best == null || counter.compare(worker, best) < 0) {
                best = worker;
            }
        }
        return best;
    }

    /** Compares workers by the tasks of the job that they and their racks have. */
    private static final class CandidateComparator {
        private final TaskSpread mPlacedSpread;
        private final TaskSpread mAddedSpread;
        private final String mAvoidedWorker;

        CandidateComparator(PlacementRequest request, TaskSpread added) {
            mPlacedSpread = request.spread();
            mAvoidedWorker = request.avoidedWorker();
            mAddedSpread = added;
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
