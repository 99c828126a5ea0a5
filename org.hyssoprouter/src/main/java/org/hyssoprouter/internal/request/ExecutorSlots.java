package org.hyssoprouter.internal.request;

import org.hyssoprouter.lib.ExecutorInfo;

/**
 * Slots of one executor; guarded by the lock of its {@link SlotTracker}.
 *
 * <p>Uncertain slots are those of a former owner and those of requests whose outcome is unknown.
 * They count as in use until the executor itself says that fewer are.
 */
final class ExecutorSlots {
    private static final long QUERY_INTERVAL_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 10_000;
    private static final int MAX_BACKOFF_SHIFT = 6;
    // A request whose connection broke may still be on its way to the executor for this time.
    private static final long MIN_UNCERTAIN_MILLIS = 1_000;
    private static final long MIN_DRAIN_DELAY_MILLIS = 2_000;
    private static final long MAX_DRAIN_DELAY_MILLIS = 60_000;
    // Unknown outcomes in a row after which an executor is set aside although it answers questions.
    private static final int MAX_UNKNOWN_OUTCOMES = 3;
    // One connection stays free for the question about slots in use.
    private static final int RESERVED_CONNECTIONS = 1;

    private ExecutorInfo mInfo;
    private boolean mLeaving;
    private boolean mCountKnown;
    private boolean mSuspended;
    private boolean mDraining;
    private boolean mQueryPending;
    private int mHeldSlots;
    private int mBulkSlots;
    private int mUncertainSlots;
    private int mFailures;
    private int mUnknownOutcomes;
    private long mNextQueryMillis = Long.MIN_VALUE;
    private long mLastUncertainMillis = Long.MIN_VALUE / 2;
    private long mUncertainSinceMillis;
    private long mDrainDelayMillis = MIN_DRAIN_DELAY_MILLIS;

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
    void markUnlisted() {
        mLeaving = true;
    }

    boolean isIdle() {
        return mHeldSlots == 0;
    }

    boolean isDraining() {
        return mDraining;
    }

    boolean isUsable() {
        return mCountKnown && !mSuspended && !mLeaving && !mDraining;
    }

    int slotsInUse() {
        return mHeldSlots + mUncertainSlots;
    }

    /** Returns the slots that a request may take now. */
    int freeSlots() {
        if (!isUsable()) {
            return 0;
        }
        int slots = mInfo.slots() - slotsInUse();
        int connections = mInfo.connections() - RESERVED_CONNECTIONS - slotsInUse();
        // An executor that failed gets one request at a time until one succeeds.
        int trial = mFailures > 0 ? 1 - mHeldSlots : Integer.MAX_VALUE;
        return Math.max(0, Math.min(trial, Math.min(slots, connections)));
    }

    /** Returns whether class BULK may take one more slot. */
    boolean admitsBulk(int bulkSharePercent) {
        int limit = mInfo.slots() * bulkSharePercent / 100;
        int atLeast = bulkSharePercent > 0 ? 1 : 0;
        return mBulkSlots < Math.max(atLeast, limit);
    }

    SlotHold acquire(boolean bulk) {
        mHeldSlots++;
        mBulkSlots += bulk ? 1 : 0;
        return new SlotHold(this, bulk);
    }

    void release(SlotHold hold) {
        mHeldSlots--;
        mBulkSlots -= hold.isBulk() ? 1 : 0;
    }

    void markUncertain(SlotHold hold, long nowMillis) {
        release(hold);
        if (mUncertainSlots == 0) {
            mUncertainSinceMillis = nowMillis;
        }
        mUncertainSlots++;
        mLastUncertainMillis = nowMillis;
        mNextQueryMillis = nowMillis;
        mUnknownOutcomes++;
        if (mUnknownOutcomes >= MAX_UNKNOWN_OUTCOMES) {
            suspend(nowMillis);
        }
    }

    void recordSuccess() {
        mFailures = 0;
        mUnknownOutcomes = 0;
    }

    void suspend(long nowMillis) {
        mSuspended = true;
        backOff(nowMillis);
    }

    /** Learns that the executor is fuller than was thought. */
    void invalidateCount(long nowMillis) {
        mCountKnown = false;
        mNextQueryMillis = nowMillis;
    }

    /** Returns whether the executor is to be asked now, and notes that it is. */
    boolean beginQueryIfDue(long nowMillis) {
        updateDrain(nowMillis);
        boolean wanted = !mCountKnown || mSuspended || mUncertainSlots > 0;
        if (!wanted || mQueryPending || nowMillis < mNextQueryMillis) {
            return false;
        }
        mQueryPending = true;
        return true;
    }

    /** Returns whether so much time has passed that only an idle executor can tell its count. */
    boolean needsDrain(long nowMillis) {
        return mCountKnown
                && !mDraining
                && mUncertainSlots > 0
                && nowMillis - mUncertainSinceMillis >= mDrainDelayMillis;
    }

    void beginDrain() {
        mDraining = true;
    }

    private void updateDrain(long nowMillis) {
        if (mUncertainSlots == 0) {
            mDraining = false;
            mDrainDelayMillis = MIN_DRAIN_DELAY_MILLIS;
        }
        if (mDraining && mHeldSlots > 0) {
            mNextQueryMillis = Math.max(mNextQueryMillis, nowMillis + QUERY_INTERVAL_MILLIS);
        }
    }

    void onQueryAnswered(int slotsInUse, long askedMillis, long nowMillis) {
        mQueryPending = false;
        mSuspended = false;
        mNextQueryMillis = nowMillis + QUERY_INTERVAL_MILLIS;
        if (!mCountKnown) {
            mCountKnown = true;
            mUncertainSlots = Math.max(0, slotsInUse - mHeldSlots);
            mUncertainSinceMillis = nowMillis;
            return;
        }
        if (askedMillis - mLastUncertainMillis < MIN_UNCERTAIN_MILLIS) {
            return;
        }
        // Requests of our own are in the count, so it bounds the uncertain ones only from above.
        mUncertainSlots = Math.min(mUncertainSlots, slotsInUse);
        if (mDraining && mHeldSlots == 0) {
            finishDrain(nowMillis);
        }
    }

    private void finishDrain(long nowMillis) {
        mDraining = false;
        mUncertainSinceMillis = nowMillis;
        mDrainDelayMillis =
                mUncertainSlots == 0
                        ? MIN_DRAIN_DELAY_MILLIS
                        : Math.min(MAX_DRAIN_DELAY_MILLIS, mDrainDelayMillis * 2);
    }

    void onQueryFailed(long nowMillis) {
        mQueryPending = false;
        mSuspended = true;
        backOff(nowMillis);
    }

    private void backOff(long nowMillis) {
        int shift = Math.min(MAX_BACKOFF_SHIFT, mFailures);
        mFailures++;
        mNextQueryMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, QUERY_INTERVAL_MILLIS << shift);
    }
}
