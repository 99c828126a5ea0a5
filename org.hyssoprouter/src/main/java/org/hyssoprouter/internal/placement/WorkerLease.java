package org.hyssoprouter.internal.placement;

/**
 * Tracks, at the owner of the shard, the latest time until which the tasks of one worker may run. A
 * renewal with an unknown outcome is assumed to be delivered at the last possible moment. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class WorkerLease {
    // Value of mUnansweredSinceMillis while no renewal is unanswered.
    private static final long NOT_WAITING = Long.MIN_VALUE;

    private final LeaseTiming mTiming;
    private boolean mSilenceProvesExpiry;
    // Latest possible end of all known grants.
    private long mExpiryMillis;
    private long mLastAnswerMillis;
    private boolean mHasAnswered;
    private boolean mRenewalInFlight;
    private long mGrantMillis;
    // Time at which the first unanswered renewal was sent.
    private long mUnansweredSinceMillis = NOT_WAITING;

    /**
     * Creates the lease of a worker at a takeover. The former owner may have renewed it just
     * before.
     *
     * @param timing timing of the lease
     * @param silenceProvesExpiry whether silence until the latest possible expiry proves that the
     *     lease has expired
     * @param nowMillis monotonic time of the takeover
     */
    public WorkerLease(LeaseTiming timing, boolean silenceProvesExpiry, long nowMillis) {
        mTiming = timing;
        mSilenceProvesExpiry = silenceProvesExpiry;
        mExpiryMillis = nowMillis + timing.takeoverExpiryMillis();
        mLastAnswerMillis = nowMillis;
    }

    /**
     * Returns the longest lease that a renewal sent now may grant, in milliseconds, or 0 if none
     * may be sent. A worker that has not answered for a while gets only a grant that certainly ends
     * before the current expiry time. Polling it then does not delay the start of its tasks on
     * other workers.
     */
    public long maxGrantMillis(long nowMillis) {
        if (mRenewalInFlight) {
            return 0;
        }
        boolean isResponsive =
                mUnansweredSinceMillis == NOT_WAITING
                        || nowMillis - mUnansweredSinceMillis < mTiming.silenceThresholdMillis();
        if (isResponsive || nowMillis >= mExpiryMillis) {
            return mTiming.leaseMillis();
        }
        long remaining =
                mExpiryMillis
                        - nowMillis
                        - mTiming.callTimeoutMillis()
                        - mTiming.maxDeliveryDelayMillis();
        return Math.min(mTiming.leaseMillis(), Math.max(0, remaining));
    }

    /** Records that a renewal with a grant is being sent. */
    public void onRenewalSent(long grantMillis, long nowMillis) {
        mRenewalInFlight = true;
        if (mUnansweredSinceMillis == NOT_WAITING) {
            mUnansweredSinceMillis = nowMillis;
        }
        mGrantMillis = grantMillis;
    }

    /** Records that the worker answered the renewal. */
    public void onAnswer(long nowMillis) {
        mRenewalInFlight = false;
        mHasAnswered = true;
        mLastAnswerMillis = nowMillis;
        mUnansweredSinceMillis = NOT_WAITING;
        // The worker may still hold a longer grant of an earlier renewal.
        mExpiryMillis = Math.max(mExpiryMillis, nowMillis + mGrantMillis);
    }

    /** Records that the renewal was certainly not delivered. */
    public void onNotDelivered() {
        mRenewalInFlight = false;
    }

    /** Records that the call was aborted without an answer and may still be delivered. */
    public void onUnknownOutcome(long nowMillis) {
        mRenewalInFlight = false;
        long latestExpiryMillis = nowMillis + mTiming.maxDeliveryDelayMillis() + mGrantMillis;
        mExpiryMillis = Math.max(mExpiryMillis, latestExpiryMillis);
    }

    /** Returns whether the lease has certainly expired, so that no task on the worker runs. */
    public boolean hasExpired(long nowMillis) {
        return mSilenceProvesExpiry && !mRenewalInFlight && nowMillis >= mExpiryMillis;
    }

    /** Returns whether the latest possible end of all known grants has passed. */
    public boolean isPastExpiry(long nowMillis) {
        return nowMillis >= mExpiryMillis;
    }

    /**
     * Treats silence as proof of expiry from now on, because the platform no longer lists the
     * worker.
     */
    public void treatSilenceAsExpiry() {
        mSilenceProvesExpiry = true;
    }

    /** Returns whether the worker has answered a renewal of this owner epoch. */
    public boolean hasAnswered() {
        return mHasAnswered;
    }

    /** Returns whether the last answer is recent enough to start tasks under the lease. */
    public boolean isFresh(long nowMillis) {
        long age = nowMillis - mLastAnswerMillis;
        return mHasAnswered
                && age < mTiming.idleRenewIntervalMillis() + mTiming.silenceThresholdMillis();
    }
}
