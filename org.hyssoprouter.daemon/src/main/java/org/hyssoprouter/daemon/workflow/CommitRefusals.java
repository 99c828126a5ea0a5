package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.util.MonotonicClock;

/**
 * Detects that the table store refuses the owner's commits, so that another daemon may be served
 * better. A store that is slow does not count: it would be as slow for the next owner.
 */
final class CommitRefusals {
    /** Duration up to which a failed commit counts as refused rather than as not answered. */
    static final long MAX_REFUSAL_MILLIS = 300;

    /** Time for which all commits must have been refused. */
    static final long LIMIT_MILLIS = 300;

    private static final long NONE = -1;

    private final MonotonicClock mClock;
    private long mFirstMillis = NONE;
    private boolean mReported;

    CommitRefusals(MonotonicClock clock) {
        mClock = clock;
    }

    void onSuccess() {
        mFirstMillis = NONE;
        mReported = false;
    }

    /**
     * Records a failed commit.
     *
     * @param durationMillis time from its sending to the failure, in milliseconds
     * @return whether the limit has been reached; true once until the next success
     */
    boolean onFailure(long durationMillis) {
        if (durationMillis > MAX_REFUSAL_MILLIS) {
            mFirstMillis = NONE;
            return false;
        }
        long nowMillis = mClock.millis();
        if (mFirstMillis == NONE) {
            mFirstMillis = nowMillis;
        }
        if (mReported || nowMillis - mFirstMillis < LIMIT_MILLIS) {
            return false;
        }
        mReported = true;
        return true;
    }
}
