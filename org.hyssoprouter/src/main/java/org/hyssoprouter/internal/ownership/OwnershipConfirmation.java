package org.hyssoprouter.internal.ownership;

import org.hyssoprouter.util.MonotonicClock;

/**
 * Right to act under one epoch of one shard. It lasts a short time from the start of the newest
 * group that checked the shard's row, or from the newest instant at which everyone who could take
 * over said that the table is out.
 *
 * @since 0.1
 */
public final class OwnershipConfirmation implements OwnershipCheck {
    private final MonotonicClock mClock;
    private final long mConfirmMillis;
    private long mConfirmedMillis;
    private boolean mConfirmed;
    private boolean mRevoked;

    /**
     * Creates a right that does not hold yet.
     *
     * @param confirmMillis time for which a confirmation lasts
     */
    public OwnershipConfirmation(MonotonicClock clock, long confirmMillis) {
        mClock = clock;
        mConfirmMillis = confirmMillis;
    }

    /** Notes a confirmation whose table operation or first peer call began at that time. */
    public synchronized void confirm(long startedMillis) {
        if (!mConfirmed || startedMillis - mConfirmedMillis > 0) {
            mConfirmedMillis = startedMillis;
        }
        mConfirmed = true;
    }

    /** Ends the right for good. */
    public synchronized void revoke() {
        mRevoked = true;
    }

    /** Returns the age of the newest confirmation in milliseconds. */
    public synchronized long ageMillis() {
        return mConfirmed ? mClock.millis() - mConfirmedMillis : Long.MAX_VALUE;
    }

    @Override
    public synchronized boolean isConfirmed() {
        return !mRevoked && ageMillis() < mConfirmMillis;
    }
}
