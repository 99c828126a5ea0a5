package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;

/** One pass over the waiting jobs, each of which gets what room there is for it. */
final class PlacementPass {
    private static final int MAX_BLOCKED = 64;
    private static final int MAX_SKIPPED = 1_024;

    private final Fleet mFleet;
    private final JobPlacer mPlacer;
    private final GangReservation mReservation;
    private final BiConsumer<JobEntry, List<Assignment>> mPlaced;
    private final BiConsumer<JobEntry, Long> mBlocked;

    /**
     * Creates a pass.
     *
     * @param placed takes the assignments of a job
     * @param blocked takes a job that still has waiting tasks, and the time
     */
    PlacementPass(
            Fleet fleet,
            JobPlacer placer,
            GangReservation reservation,
            BiConsumer<JobEntry, List<Assignment>> placed,
            BiConsumer<JobEntry, Long> blocked) {
        mFleet = fleet;
        mPlacer = placer;
        mReservation = reservation;
        mPlaced = placed;
        mBlocked = blocked;
    }

    /**
     * Places waiting tasks. A pass ends after a number of jobs that found no room, so that its cost
     * is bounded however many wait.
     *
     * @return number of tasks placed
     */
    int run(JobQueue queue, long nowMillis, int limit, QuotaLookup quotas) {
        mReservation.refresh();
        List<Room> tooLarge = new ArrayList<>();
        int placed = 0;
        int blocked = 0;
        int skipped = 0;
        JobEntry job = queue.next(null);
        while (job != null && placed < limit && blocked < MAX_BLOCKED && skipped < MAX_SKIPPED) {
            if (isHopeless(job, tooLarge)) {
                skipped++;
                job = queue.next(job);
                continue;
            }
            placed += place(job, limit - placed, quotas, seesReserved(job));
            if (!job.mWaiting.isEmpty() && placed < limit) {
                blocked++;
                noteBlocked(job, tooLarge, nowMillis);
            }
            job = queue.next(job);
        }
        return placed + backfill(queue, nowMillis, limit - placed, quotas);
    }

    private void noteBlocked(JobEntry job, List<Room> tooLarge, long nowMillis) {
        if (job.mWaitsForRoom && job.mSpec.kind() != WorkKind.GANG) {
            tooLarge.add(mPlacer.sizeOf(job));
        }
        mBlocked.accept(job, nowMillis);
    }

    /** Skips a job that needs at least as much as one that found no room in this pass. */
    private boolean isHopeless(JobEntry job, List<Room> tooLarge) {
        boolean special =
                job.mSpec.kind() == WorkKind.GANG
                        || job.mSpec.trafficClass() == TrafficClass.URGENT;
        if (special || tooLarge.isEmpty()) {
            return false;
        }
        Room room = mPlacer.sizeOf(job);
        for (Room failed : tooLarge) {
            if (failed.fitsIn(room)) {
                return true;
            }
        }
        return false;
    }

    private boolean seesReserved(JobEntry job) {
        return mReservation.isFor(job) || job.mSpec.trafficClass() == TrafficClass.URGENT;
    }

    private int place(JobEntry job, int limit, QuotaLookup quotas, boolean seesReserved) {
        mFleet.setReservedVisible(seesReserved);
        List<Assignment> assignments = mPlacer.place(job, limit, quotas);
        if (!assignments.isEmpty()) {
            mPlaced.accept(job, assignments);
        }
        mFleet.setReservedVisible(false);
        return assignments.size();
    }

    /** Lets short work run on reserved workers until the gang can start. */
    private int backfill(JobQueue queue, long nowMillis, int limit, QuotaLookup quotas) {
        if (!mReservation.isActive()) {
            return 0;
        }
        int placed = 0;
        JobEntry job = queue.next(null);
        for (int seen = 0; job != null && placed < limit && seen < MAX_BLOCKED; seen++) {
            if (mReservation.admits(job, nowMillis)) {
                placed += place(job, limit - placed, quotas, true);
            }
            job = queue.next(job);
        }
        return placed;
    }
}
