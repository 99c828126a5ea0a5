package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.jspecify.annotations.Nullable;

/**
 * Reserves workers for the first gang that has been blocked for long enough; otherwise smaller jobs
 * would take each piece of room as it becomes free and starve the gang. A job whose declared run
 * time ends before the expected start of the gang may still use the reserved workers.
 */
final class GangReservation {
    // Time without room after which a gang gets a reservation.
    private static final long MIN_BLOCKED_MILLIS = 1_000;
    // Minimum time between two searches for workers to reserve.
    private static final long SEARCH_INTERVAL_MILLIS = 1_000;

    private final Fleet mFleet;
    private final JobStore mStore;
    private @Nullable JobEntry mGang;
    private long mExpectedStartMillis;
    private long mNextSearchMillis;

    GangReservation(Fleet fleet, JobStore store) {
        mFleet = fleet;
        mStore = store;
    }

    boolean isActive() {
        return mGang != null;
    }

    boolean isFor(JobEntry job) {
        return mGang == job;
    }

    /**
     * Returns whether a task of a job, if started now, ends before the gang is expected to start.
     */
    boolean allowsBackfill(JobEntry job, long nowMillis) {
        long runTimeMillis = job.mSpec.runTimeMillis();
        return mGang != null
                && runTimeMillis > 0
                && nowMillis + runTimeMillis <= mExpectedStartMillis;
    }

    /** Releases the reservation if the gang has been placed or is ending. */
    void releaseIfDone() {
        if (mGang != null && (mGang.mWaitingTasks.isEmpty() || mGang.isEnding())) {
            mGang = null;
            mFleet.reserve(Set.of());
        }
    }

    /**
     * Reserves workers for a job without room if it is a gang that has been blocked long enough.
     */
    void reserveIfBlocked(JobEntry job, Room room, long nowMillis) {
        if (job.mSpec.kind() != WorkKind.GANG || mGang != null) {
            return;
        }
        if (job.mBlockedSinceMillis == 0) {
            job.mBlockedSinceMillis = nowMillis;
        }
        boolean tooEarly = nowMillis - job.mBlockedSinceMillis < MIN_BLOCKED_MILLIS;
        if (tooEarly || nowMillis < mNextSearchMillis) {
            return;
        }
        mNextSearchMillis = nowMillis + SEARCH_INTERVAL_MILLIS;
        reserve(job, room, nowMillis);
    }

    private void reserve(JobEntry job, Room room, long nowMillis) {
        List<Candidate> candidates = new ArrayList<>();
        for (String worker : mFleet.workers()) {
            if (mFleet.isUsable(worker)) {
                candidates.add(candidateFor(worker, room, nowMillis));
            }
        }
        candidates.sort(
                Comparator.comparingLong(Candidate::freeMillis)
                        .thenComparing(Comparator.comparingLong(Candidate::taskCount).reversed()));
        long taskCapacity = 0;
        long startMillis = nowMillis;
        Set<String> reserved = new HashSet<>();
        for (Candidate candidate : candidates) {
            if (candidate.taskCount() == 0 || taskCapacity >= job.mWaitingTasks.size()) {
                continue;
            }
            taskCapacity += candidate.taskCount();
            startMillis = Math.max(startMillis, candidate.freeMillis());
            reserved.add(candidate.worker());
        }
        if (taskCapacity < job.mWaitingTasks.size()) {
            return;
        }
        mGang = job;
        // Without a declared run time the start cannot be predicted, so no job may backfill.
        mExpectedStartMillis = startMillis == Long.MAX_VALUE ? nowMillis : startMillis;
        mFleet.reserve(reserved);
    }

    /** Computes how many tasks a worker can run after all its batch and gang tasks have ended. */
    private Candidate candidateFor(String worker, Room room, long nowMillis) {
        Room serviceRoom = Room.NONE;
        long freeMillis = nowMillis;
        for (AttemptId attempt : mFleet.attemptsOn(worker)) {
            JobEntry job = mStore.job(attempt.task().job());
            TaskEntry task = mStore.task(attempt.task());
            if (job == null || task == null) {
                continue;
            }
            if (job.mSpec.kind() == WorkKind.SERVICE) {
                serviceRoom = serviceRoom.plus(task.mHeldRoom);
                continue;
            }
            long runTimeMillis = job.mSpec.runTimeMillis();
            long endMillis =
                    runTimeMillis == 0 ? Long.MAX_VALUE : task.mPlacedMillis + runTimeMillis;
            freeMillis = Math.max(freeMillis, endMillis);
        }
        Room capacity = mFleet.roomTracker().capacity(worker);
        return new Candidate(
                worker, Fleet.tasksFittingIn(room, capacity.minus(serviceRoom)), freeMillis);
    }

    private record Candidate(String worker, long taskCount, long freeMillis) {}
}
