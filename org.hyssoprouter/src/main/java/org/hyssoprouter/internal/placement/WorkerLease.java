package org.hyssoprouter.internal.placement;

/**
 * Until when the tasks of one worker may run, as far as their owner can know. A renewal whose
 * outcome is unknown counts as delivered at the last possible moment. Not thread-safe.
 *
 * @since 0.1
 */
public final class WorkerLease {
    private static final long ANSWERED = Long.MIN_VALUE;

    private final LeaseTiming mTiming;
    private boolean mSettledBySilence;
    private long mLapseMillis;
    private long mLastAnswerMillis;
    private boolean mAnswered;
    private boolean mInFlight;
    private long mGrantMillis;
    // When the first renewal was sent that has no answer yet.
    private long mSilentSinceMillis = ANSWERED;

    /**
     * Creates the lease of a worker at the moment of a takeover, when an earlier owner may just
     * have renewed it.
     *
     * @param settledBySilence whether silence for long enough proves that the lease has lapsed
     * @param nowMillis monotonic time
     */
    public WorkerLease(LeaseTiming timing, boolean settledBySilence, long nowMillis) {
        mTiming = timing;
        mSettledBySilence = settledBySilence;
        mLapseMillis = nowMillis + timing.takeoverExpiryMillis();
        mLastAnswerMillis = nowMillis;
    }

    /**
     * Returns for how long a renewal sent now may grant the lease; 0 when none is to be sent. A
     * worker that has been silent for a while is offered only what is certain to end before the
     * present lapse, so that asking it does not move the moment at which its tasks can start
     * elsewhere.
     */
    public long maxGrantMillis(long nowMillis) {
        if (mInFlight) {
            return 0;
        }
        boolean recent =
                mSilentSinceMillis == ANSWERED
                        || nowMillis - mSilentSinceMillis < mTiming.silenceThresholdMillis();
        if (recent || nowMillis >= mLapseMillis) {
            return mTiming.leaseMillis();
        }
        long left =
                mLapseMillis
                        - nowMillis
                        - mTiming.callTimeoutMillis()
                        - mTiming.maxDeliveryDelayMillis();
        return Math.min(mTiming.leaseMillis(), Math.max(0, left));
    }

    /** Notes that a renewal that grants a time is being sent. */
    public void onRenewalSent(long grantMillis, long nowMillis) {
        mInFlight = true;
        if (mSilentSinceMillis == ANSWERED) {
            mSilentSinceMillis = nowMillis;
        }
        mGrantMillis = grantMillis;
    }

    /** Notes that the worker answered a renewal. */
    public void onAnswer(long nowMillis) {
        mInFlight = false;
        mAnswered = true;
        mLastAnswerMillis = nowMillis;
        mSilentSinceMillis = ANSWERED;
        // A worker may keep an earlier, longer grant.
        mLapseMillis = Math.max(mLapseMillis, nowMillis + mGrantMillis);
    }

    /** Notes that a renewal was certainly not delivered. */
    public void onNotDelivered() {
        mInFlight = false;
    }

    /** Notes that a renewal was given up and may be delivered a little later. */
    public void onUnknownOutcome(long nowMillis) {
        mInFlight = false;
        long latest = nowMillis + mTiming.maxDeliveryDelayMillis() + mGrantMillis;
        mLapseMillis = Math.max(mLapseMillis, latest);
    }

    /** Returns whether the lease has lapsed for certain, so that no task of it runs any more. */
    public boolean hasExpired(long nowMillis) {
        return mSettledBySilence && !mInFlight && nowMillis >= mLapseMillis;
    }

    /** Returns whether the last instant at which a known grant can end has passed. */
    public boolean isPastExpiry(long nowMillis) {
        return nowMillis >= mLapseMillis;
    }

    /** Lets silence settle the lease from now on, because the platform has dropped the worker. */
    public void treatSilenceAsExpiry() {
        mSettledBySilence = true;
    }

    /** Returns whether the worker has answered under this epoch. */
    public boolean hasAnswered() {
        return mAnswered;
    }

    /** Returns whether the last answer is recent enough to start tasks under the lease. */
    public boolean isFresh(long nowMillis) {
        long age = nowMillis - mLastAnswerMillis;
        return mAnswered
                && age < mTiming.idleRenewIntervalMillis() + mTiming.silenceThresholdMillis();
    }
}
