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
 * Workers that are kept for the first gang that has waited for a while, so that smaller work does
 * not take each piece of room as it becomes free. Work that declares to end before the gang can
 * start may still use them.
 */
final class GangReservation {
    private static final long PATIENCE_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 1_000;

    private final Fleet mFleet;
    private final JobStore mStore;
    private @Nullable JobEntry mJob;
    private long mExpectedMillis;
    private long mNextTryMillis;

    GangReservation(Fleet fleet, JobStore store) {
        mFleet = fleet;
        mStore = store;
    }

    boolean isActive() {
        return mJob != null;
    }

    boolean isFor(JobEntry job) {
        return mJob == job;
    }

    /** Returns whether work with a declared run time ends before the gang can start. */
    boolean admits(JobEntry job, long nowMillis) {
        long runTime = job.mSpec.runTimeMillis();
        return mJob != null && runTime > 0 && nowMillis + runTime <= mExpectedMillis;
    }

    /** Gives the workers back when the gang has been placed or has ended. */
    void refresh() {
        if (mJob != null && (mJob.mWaiting.isEmpty() || mJob.isEnding())) {
            mJob = null;
            mFleet.reserve(Set.of());
        }
    }

    /** Reserves workers for a gang that found no room, if it is the first to wait for long. */
    void blocked(JobEntry job, Room room, long nowMillis) {
        if (job.mSpec.kind() != WorkKind.GANG || mJob != null) {
            return;
        }
        if (job.mBlockedSinceMillis == 0) {
            job.mBlockedSinceMillis = nowMillis;
        }
        boolean patient = nowMillis - job.mBlockedSinceMillis < PATIENCE_MILLIS;
        if (patient || nowMillis < mNextTryMillis) {
            return;
        }
        mNextTryMillis = nowMillis + RETRY_MILLIS;
        reserve(job, room, nowMillis);
    }

    private void reserve(JobEntry job, Room room, long nowMillis) {
        List<Candidate> candidates = new ArrayList<>();
        for (String worker : mFleet.workers()) {
            if (mFleet.isUsable(worker)) {
                candidates.add(candidate(worker, room, nowMillis));
            }
        }
        candidates.sort(
                Comparator.comparingLong(Candidate::freeMillis)
                        .thenComparing(Comparator.comparingLong(Candidate::tasks).reversed()));
        long found = 0;
        long expected = nowMillis;
        Set<String> chosen = new HashSet<>();
        for (Candidate candidate : candidates) {
            if (candidate.tasks() == 0 || found >= job.mWaiting.size()) {
                continue;
            }
            found += candidate.tasks();
            expected = Math.max(expected, candidate.freeMillis());
            chosen.add(candidate.worker());
        }
        if (found < job.mWaiting.size()) {
            return;
        }
        mJob = job;
        mExpectedMillis = expected == Long.MAX_VALUE ? nowMillis : expected;
        mFleet.reserve(chosen);
    }

    /** Returns how many tasks a worker can run once all work that ends by itself has ended. */
    private Candidate candidate(String worker, Room room, long nowMillis) {
        Room endless = Room.NONE;
        long freeMillis = nowMillis;
        for (AttemptId attempt : mFleet.attemptsOn(worker)) {
            JobEntry job = mStore.job(attempt.task().job());
            TaskEntry task = mStore.task(attempt.task());
            if (job == null || task == null) {
                continue;
            }
            if (job.mSpec.kind() == WorkKind.SERVICE) {
                endless = endless.plus(task.mHeld);
                continue;
            }
            long runTime = job.mSpec.runTimeMillis();
            long end = runTime == 0 ? Long.MAX_VALUE : task.mPlacedMillis + runTime;
            freeMillis = Math.max(freeMillis, end);
        }
        Room capacity = mFleet.roomTracker().capacity(worker);
        return new Candidate(
                worker, Fleet.tasksFittingIn(room, capacity.minus(endless)), freeMillis);
    }

    private record Candidate(String worker, long tasks, long freeMillis) {}
}
