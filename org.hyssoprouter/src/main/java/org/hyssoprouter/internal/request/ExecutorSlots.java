package org.hyssoprouter.internal.request;

import org.hyssoprouter.lib.ExecutorInfo;

/**
 * Slots of one executor; guarded by the lock of its {@link SlotTracker}.
 *
 * <p>Uncertain slots are those of a former owner and those of requests whose outcome is unknown.
 * They count as in use until the executor itself says that fewer are.
 */
final class ExecutorSlots {
    private static final long ASK_INTERVAL_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 10_000;
    private static final int MAX_BACKOFF_SHIFT = 6;
    // A request whose connection broke may still be on its way to the executor for this time.
    private static final long MIN_UNCERTAIN_MILLIS = 1_000;
    private static final long DRAIN_AFTER_MILLIS = 2_000;
    private static final long MAX_DRAIN_AFTER_MILLIS = 60_000;
    // Unknown outcomes in a row after which an executor is set aside although it answers questions.
    private static final int MAX_STRIKES = 3;
    // One connection stays free for the question about slots in use.
    private static final int RESERVED_CONNECTIONS = 1;

    private ExecutorInfo mInfo;
    private boolean mLeaving;
    private boolean mKnown;
    private boolean mAside;
    private boolean mDraining;
    private boolean mAsking;
    private int mHeld;
    private int mBulkHeld;
    private int mUncertain;
    private int mFailures;
    private int mStrikes;
    private long mNextAskMillis = Long.MIN_VALUE;
    private long mLastUncertainMillis = Long.MIN_VALUE / 2;
    private long mUncertainSinceMillis;
    private long mDrainAfterMillis = DRAIN_AFTER_MILLIS;

    ExecutorSlots(ExecutorInfo info) {
        mInfo = info;
    }

    ExecutorInfo info() {
        return mInfo;
    }

    void update(ExecutorInfo info, boolean leaving) {
        mInfo = info;
        mLeaving = leaving;
    }

    /** Marks an executor that is no longer listed. */
    void unlist() {
        mLeaving = true;
    }

    boolean isIdle() {
        return mHeld == 0;
    }

    boolean isDraining() {
        return mDraining;
    }

    boolean isUsable() {
        return mKnown && !mAside && !mLeaving && !mDraining;
    }

    int inUse() {
        return mHeld + mUncertain;
    }

    /** Returns the slots that a request may take now. */
    int free() {
        if (!isUsable()) {
            return 0;
        }
        int slots = mInfo.slots() - inUse();
        int connections = mInfo.connections() - RESERVED_CONNECTIONS - inUse();
        // An executor that failed gets one request at a time until one succeeds.
        int trial = mFailures > 0 ? 1 - mHeld : Integer.MAX_VALUE;
        return Math.max(0, Math.min(trial, Math.min(slots, connections)));
    }

    /** Returns whether class BULK may take one more slot. */
    boolean admitsBulk(int bulkSharePercent) {
        int limit = mInfo.slots() * bulkSharePercent / 100;
        int atLeast = bulkSharePercent > 0 ? 1 : 0;
        return mBulkHeld < Math.max(atLeast, limit);
    }

    SlotHold take(boolean bulk) {
        mHeld++;
        mBulkHeld += bulk ? 1 : 0;
        return new SlotHold(this, bulk);
    }

    void release(SlotHold hold) {
        mHeld--;
        mBulkHeld -= hold.isBulk() ? 1 : 0;
    }

    void becomeUncertain(SlotHold hold, long nowMillis) {
        release(hold);
        if (mUncertain == 0) {
            mUncertainSinceMillis = nowMillis;
        }
        mUncertain++;
        mLastUncertainMillis = nowMillis;
        mNextAskMillis = nowMillis;
        mStrikes++;
        if (mStrikes >= MAX_STRIKES) {
            setAside(nowMillis);
        }
    }

    void succeeded() {
        mFailures = 0;
        mStrikes = 0;
    }

    void setAside(long nowMillis) {
        mAside = true;
        backOff(nowMillis);
    }

    /** Learns that the executor is fuller than was thought. */
    void mistrust(long nowMillis) {
        mKnown = false;
        mNextAskMillis = nowMillis;
    }

    /** Returns whether the executor is to be asked now, and notes that it is. */
    boolean startAsking(long nowMillis) {
        startDraining(nowMillis);
        boolean wanted = !mKnown || mAside || mUncertain > 0;
        if (!wanted || mAsking || nowMillis < mNextAskMillis) {
            return false;
        }
        mAsking = true;
        return true;
    }

    /** Returns whether so much time has passed that only an idle executor can tell its count. */
    boolean wantsDrain(long nowMillis) {
        return mKnown
                && !mDraining
                && mUncertain > 0
                && nowMillis - mUncertainSinceMillis >= mDrainAfterMillis;
    }

    void drain() {
        mDraining = true;
    }

    private void startDraining(long nowMillis) {
        if (mUncertain == 0) {
            mDraining = false;
            mDrainAfterMillis = DRAIN_AFTER_MILLIS;
        }
        if (mDraining && mHeld > 0) {
            mNextAskMillis = Math.max(mNextAskMillis, nowMillis + ASK_INTERVAL_MILLIS);
        }
    }

    void answered(int slotsInUse, long askedMillis, long nowMillis) {
        mAsking = false;
        mAside = false;
        mNextAskMillis = nowMillis + ASK_INTERVAL_MILLIS;
        if (!mKnown) {
            mKnown = true;
            mUncertain = Math.max(0, slotsInUse - mHeld);
            mUncertainSinceMillis = nowMillis;
            return;
        }
        if (askedMillis - mLastUncertainMillis < MIN_UNCERTAIN_MILLIS) {
            return;
        }
        // Requests of our own are in the count, so it bounds the uncertain ones only from above.
        mUncertain = Math.min(mUncertain, slotsInUse);
        if (mDraining && mHeld == 0) {
            endDrain(nowMillis);
        }
    }

    private void endDrain(long nowMillis) {
        mDraining = false;
        mUncertainSinceMillis = nowMillis;
        mDrainAfterMillis =
                mUncertain == 0
                        ? DRAIN_AFTER_MILLIS
                        : Math.min(MAX_DRAIN_AFTER_MILLIS, mDrainAfterMillis * 2);
    }

    void silent(long nowMillis) {
        mAsking = false;
        mAside = true;
        backOff(nowMillis);
    }

    private void backOff(long nowMillis) {
        int shift = Math.min(MAX_BACKOFF_SHIFT, mFailures);
        mFailures++;
        mNextAskMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, ASK_INTERVAL_MILLIS << shift);
    }
}
