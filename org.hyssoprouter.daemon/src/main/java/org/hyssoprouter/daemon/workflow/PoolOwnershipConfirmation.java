package org.hyssoprouter.daemon.workflow;

import java.time.Clock;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Tells whether an owner can rely on its ownership, or may have been replaced meanwhile: while its
 * process is frozen or its commit is on its way, other daemons see its row unchanged.
 */
final class PoolOwnershipConfirmation {
    private final MonotonicClock mClock;

    /** Counts the time for which the machine was suspended, unlike the monotonic clock. */
    private final Clock mTimeOfDay;

    private Moment mLastSent;
    private long mLastDurationMillis;

    /** Whether others may take over before the owner's timeout. */
    private boolean mRevoked;

    /** Duration that two commits in a row have taken, so that a single late answer stands out. */
    private long mUsualDurationMillis;

    /** Point in time by both clocks, in milliseconds. */
    record Moment(long monotonicMillis, long epochMillis) {}

    PoolOwnershipConfirmation(MonotonicClock clock, Clock timeOfDay) {
        mClock = clock;
        mTimeOfDay = timeOfDay;
        mLastSent = now();
    }

    Moment now() {
        return new Moment(mClock.millis(), mTimeOfDay.millis());
    }

    /** Records that this daemon has become owner. */
    void onBegun() {
        mLastSent = now();
    }

    /**
     * Records that others were asked to take over or that the release of the ownership was sent.
     * The next successful commit confirms the ownership anew.
     */
    void revoke() {
        mRevoked = true;
    }

    /** Records that a commit has succeeded that was sent at a time. */
    void onCommitted(Moment sent) {
        mRevoked = false;
        mLastSent = sent;
        long durationMillis = millisSince(sent);
        mUsualDurationMillis = Math.min(mLastDurationMillis, durationMillis);
        mLastDurationMillis = durationMillis;
    }

    /**
     * Returns whether the last successful commit was sent so recently that no other daemon can have
     * taken over since. In a slow store, the others wait longer, too.
     */
    boolean isConfirmed() {
        return !mRevoked
                && millisSince(mLastSent) < Election.OWNER_TIMEOUT_MILLIS + mUsualDurationMillis;
    }

    private long millisSince(Moment moment) {
        Moment now = now();
        return Math.max(
                now.monotonicMillis() - moment.monotonicMillis(),
                now.epochMillis() - moment.epochMillis());
    }
}
