package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;

/** Passes once over the queued jobs and places their waiting tasks while there is room. */
final class PlacementPass {
    // Blocked jobs after which a pass ends, and jobs examined for backfill.
    private static final int MAX_BLOCKED_JOBS = 64;
    // Jobs skipped without a search after which a pass ends.
    private static final int MAX_SKIPPED_JOBS = 1_024;

    private final Fleet mFleet;
    private final JobPlacer mPlacer;
    private final GangReservation mReservation;
    private final BiConsumer<JobEntry, List<Assignment>> mOnPlaced;
    private final BiConsumer<JobEntry, Long> mOnBlocked;

    /**
     * Creates the pass, which can be run repeatedly.
     *
     * @param onPlaced receives the new assignments of a job
     * @param onBlocked receives a job that still has waiting tasks, and the monotonic time
     */
    PlacementPass(
            Fleet fleet,
            JobPlacer placer,
            GangReservation reservation,
            BiConsumer<JobEntry, List<Assignment>> onPlaced,
            BiConsumer<JobEntry, Long> onBlocked) {
        mFleet = fleet;
        mPlacer = placer;
        mReservation = reservation;
        mOnPlaced = onPlaced;
        mOnBlocked = onBlocked;
    }

    /**
     * Places waiting tasks. The pass ends after a fixed number of blocked or skipped jobs, so that
     * its cost does not grow with the length of the queue.
     *
     * @param limit maximum number of tasks to place; a gang may exceed it
     * @return number of tasks placed
     */
    int run(JobQueue queue, long nowMillis, int limit, QuotaLookup quotas) {
        mReservation.releaseIfDone();
        List<Room> unplaceableRooms = new ArrayList<>();
        int placed = 0;
        int blocked = 0;
        int skipped = 0;
        JobEntry job = queue.next(null);
        while (job != null
                && placed < limit
                && blocked < MAX_BLOCKED_JOBS
                && skipped < MAX_SKIPPED_JOBS) {
            if (cannotFit(job, unplaceableRooms)) {
                skipped++;
                job = queue.next(job);
                continue;
            }
            placed += place(job, limit - placed, quotas, mayUseReserved(job));
            if (!job.mWaitingTasks.isEmpty() && placed < limit) {
                blocked++;
                handleBlocked(job, unplaceableRooms, nowMillis);
            }
            job = queue.next(job);
        }
        return placed + backfill(queue, nowMillis, limit - placed, quotas);
    }

    private void handleBlocked(JobEntry job, List<Room> unplaceableRooms, long nowMillis) {
        if (job.mWaitsForRoom && job.mSpec.kind() != WorkKind.GANG) {
            unplaceableRooms.add(mPlacer.roomPerTask(job));
        }
        mOnBlocked.accept(job, nowMillis);
    }

    /** Returns whether a job needs at least as much room per task as one that did not fit. */
    private boolean cannotFit(JobEntry job, List<Room> unplaceableRooms) {
        boolean alwaysTried =
                job.mSpec.kind() == WorkKind.GANG
                        || job.mSpec.trafficClass() == TrafficClass.URGENT;
        if (alwaysTried || unplaceableRooms.isEmpty()) {
            return false;
        }
        Room room = mPlacer.roomPerTask(job);
        for (Room unplaceable : unplaceableRooms) {
            if (unplaceable.fitsIn(room)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a job may always use reserved workers. */
    private boolean mayUseReserved(JobEntry job) {
        return mReservation.isFor(job) || job.mSpec.trafficClass() == TrafficClass.URGENT;
    }

    private int place(JobEntry job, int limit, QuotaLookup quotas, boolean withReserved) {
        mFleet.setReservedVisible(withReserved);
        List<Assignment> assignments = mPlacer.place(job, limit, quotas);
        if (!assignments.isEmpty()) {
            mOnPlaced.accept(job, assignments);
        }
        mFleet.setReservedVisible(false);
        return assignments.size();
    }

    /** Places jobs on reserved workers if they end before the gang is expected to start. */
    private int backfill(JobQueue queue, long nowMillis, int limit, QuotaLookup quotas) {
        if (!mReservation.isActive()) {
            return 0;
        }
        int placed = 0;
        JobEntry job = queue.next(null);
        for (int visited = 0;
                job != null && placed < limit && visited < MAX_BLOCKED_JOBS;
                visited++) {
            if (mReservation.allowsBackfill(job, nowMillis)) {
                placed += place(job, limit - placed, quotas, true);
            }
            job = queue.next(job);
        }
        return placed;
    }
}
