package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Releases an ownership whose pools are not open in time: its commits keep other daemons from
 * taking over while nothing is scheduled. The limit doubles with each ownership in a row that was
 * released, so that a store that is slow for all daemons still lets one of them finish. All methods
 * run on the owner's thread.
 */
final class OpeningGuard {
    /** Age of the last commit up to which other daemons are kept from taking over. */
    static final long MAX_COMMIT_AGE_MILLIS = 2_000;

    /** Limit of the first ownership. */
    static final long INITIAL_LIMIT_MILLIS = 5_000;

    private static final int MAX_DOUBLINGS = 4;
    private static final EventLogger LOG = EventLogger.of(OpeningGuard.class);

    private final MonotonicClock mClock;
    private final OwnerCommitter mCommitter;
    private final WorkflowMeters mMeters;
    private final Runnable mRelease;
    private long mLastCheckMillis;

    /** Time in which commits succeeded while the pools were not open. */
    private long mUnopenedMillis;

    private boolean mEnded;

    /**
     * Creates a guard at the start of an ownership.
     *
     * @param release releases the ownership
     */
    OpeningGuard(
            MonotonicClock clock,
            OwnerCommitter committer,
            WorkflowMeters meters,
            Runnable release) {
        mClock = clock;
        mCommitter = committer;
        mMeters = meters;
        mRelease = release;
        mLastCheckMillis = clock.millis();
    }

    /** The pools are open. */
    void onOpened() {
        mEnded = true;
        mCommitter.setUnopenedCount(0);
    }

    /** Releases the ownership once if the pools are not open in time. */
    void releaseIfOverdue() {
        long nowMillis = mClock.millis();
        if (mCommitter.lastCommitAgeMillis() <= MAX_COMMIT_AGE_MILLIS) {
            mUnopenedMillis += nowMillis - mLastCheckMillis;
        }
        mLastCheckMillis = nowMillis;
        int unopenedCount = mCommitter.unopenedCount();
        long limitMillis = INITIAL_LIMIT_MILLIS << Math.min(MAX_DOUBLINGS, unopenedCount);
        if (mEnded || mUnopenedMillis < limitMillis) {
            return;
        }
        mEnded = true;
        LOG.log(LogEvent.POOLS_NOT_OPENED, mCommitter.epoch(), mUnopenedMillis, unopenedCount + 1);
        mMeters.countUnopenedOwnership();
        mCommitter.setUnopenedCount(unopenedCount + 1);
        mRelease.run();
    }
}
