package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;

/** One pass over the waiting jobs, each of which gets what room there is for it. */
final class PlacementPass {
    private static final int MAX_BLOCKED_JOBS = 64;
    private static final int MAX_SKIPPED_JOBS = 1_024;

    private final Fleet mFleet;
    private final JobPlacer mPlacer;
    private final GangReservation mReservation;
    private final BiConsumer<JobEntry, List<Assignment>> mOnPlaced;
    private final BiConsumer<JobEntry, Long> mOnBlocked;

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
        mOnPlaced = placed;
        mOnBlocked = blocked;
    }

    /**
     * Places waiting tasks. A pass ends after a number of jobs that found no room, so that its cost
     * is bounded however many wait.
     *
     * @return number of tasks placed
     */
    int run(JobQueue queue, long nowMillis, int limit, QuotaLookup quotas) {
        mReservation.releaseIfDone();
        List<Room> tooLarge = new ArrayList<>();
        int placed = 0;
        int blocked = 0;
        int skipped = 0;
        JobEntry job = queue.next(null);
        while (job != null
                && placed < limit
                && blocked < MAX_BLOCKED_JOBS
                && skipped < MAX_SKIPPED_JOBS) {
            if (cannotFit(job, tooLarge)) {
                skipped++;
                job = queue.next(job);
                continue;
            }
            placed += place(job, limit - placed, quotas, mayUseReserved(job));
            if (!job.mWaitingTasks.isEmpty() && placed < limit) {
                blocked++;
                handleBlocked(job, tooLarge, nowMillis);
            }
            job = queue.next(job);
        }
        return placed + backfill(queue, nowMillis, limit - placed, quotas);
    }

    private void handleBlocked(JobEntry job, List<Room> tooLarge, long nowMillis) {
        if (job.mWaitsForRoom && job.mSpec.kind() != WorkKind.GANG) {
            tooLarge.add(mPlacer.roomPerTask(job));
        }
        mOnBlocked.accept(job, nowMillis);
    }

    /** Skips a job that needs at least as much as one that found no room in this pass. */
    private boolean cannotFit(JobEntry job, List<Room> tooLarge) {
        boolean special =
                job.mSpec.kind() == WorkKind.GANG
                        || job.mSpec.trafficClass() == TrafficClass.URGENT;
        if (special || tooLarge.isEmpty()) {
            return false;
        }
        Room room = mPlacer.roomPerTask(job);
        for (Room failed : tooLarge) {
            if (failed.fitsIn(room)) {
                return true;
            }
        }
        return false;
    }

    private boolean mayUseReserved(JobEntry job) {
        return mReservation.isFor(job) || job.mSpec.trafficClass() == TrafficClass.URGENT;
    }

    private int place(JobEntry job, int limit, QuotaLookup quotas, boolean seesReserved) {
        mFleet.setReservedVisible(seesReserved);
        List<Assignment> assignments = mPlacer.place(job, limit, quotas);
        if (!assignments.isEmpty()) {
            mOnPlaced.accept(job, assignments);
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
        for (int seen = 0; job != null && placed < limit && seen < MAX_BLOCKED_JOBS; seen++) {
            if (mReservation.allowsBackfill(job, nowMillis)) {
                placed += place(job, limit - placed, quotas, true);
            }
            job = queue.next(job);
        }
        return placed;
    }
}
