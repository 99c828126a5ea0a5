package org.hyssoprouter.internal.ownership;

import org.hyssoprouter.util.MonotonicClock;

/**
 * Tracks until when this daemon's ownership of a shard under one epoch is confirmed. A confirmation
 * is valid for a fixed time from the start of the latest group commit that checked the shard's row,
 * or from the start of the latest inquiry in which every daemon that could take over replied that
 * it cannot read the table either.
 *
 * @since 0.1
 */
public final class OwnershipConfirmation implements OwnershipCheck {
    private final MonotonicClock mClock;
    private final long mConfirmMillis;
    private long mConfirmedMillis;
    private boolean mEverConfirmed;
    private boolean mRevoked;

    /**
     * Creates an ownership that is not confirmed yet.
     *
     * @param confirmMillis time for which a confirmation is valid
     */
    public OwnershipConfirmation(MonotonicClock clock, long confirmMillis) {
        mClock = clock;
        mConfirmMillis = confirmMillis;
    }

    /**
     * Records a confirmation. It counts from the start of its table operation or first peer call,
     * and an older confirmation does not replace a newer one.
     *
     * @param startedMillis monotonic time of that start
     */
    public synchronized void confirm(long startedMillis) {
        if (!mEverConfirmed || startedMillis - mConfirmedMillis > 0) {
            mConfirmedMillis = startedMillis;
        }
        mEverConfirmed = true;
    }

    /** Ends the ownership permanently; later confirmations have no effect. */
    public synchronized void revoke() {
        mRevoked = true;
    }

    /**
     * Returns the age of the latest confirmation in milliseconds, or {@link Long#MAX_VALUE} if
     * there was none.
     */
    public synchronized long ageMillis() {
        return mEverConfirmed ? mClock.millis() - mConfirmedMillis : Long.MAX_VALUE;
    }

    @Override
    public synchronized boolean isConfirmed() {
        return !mRevoked && ageMillis() < mConfirmMillis;
    }
}
