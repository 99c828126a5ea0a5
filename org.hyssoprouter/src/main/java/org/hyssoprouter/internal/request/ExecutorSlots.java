package org.hyssoprouter.internal.request;

import org.hyssoprouter.lib.ExecutorInfo;

/**
 * Tracks the slots of one executor. Guarded by the lock of its {@link SlotTracker}.
 *
 * <p>A slot is held for a request of this owner, uncertain, or free. Uncertain slots belong to
 * requests of a former owner and to requests whose outcome is unknown. They are considered in use
 * until the executor reports a lower number of slots in use.
 */
final class ExecutorSlots {
    private static final long QUERY_INTERVAL_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 10_000;
    private static final int MAX_BACKOFF_SHIFT = 6;
    // After its connection broke, a request may still be in transit to the executor for this time.
    private static final long MIN_UNCERTAIN_MILLIS = 1_000;
    // Time for which slots may stay uncertain before the executor is drained. It doubles after each
    // drain that leaves uncertain slots.
    private static final long MIN_DRAIN_DELAY_MILLIS = 2_000;
    private static final long MAX_DRAIN_DELAY_MILLIS = 60_000;
    // Consecutive unknown outcomes after which the executor is suspended, even if it still answers
    // queries.
    private static final int MAX_UNKNOWN_OUTCOMES = 3;
    // One connection is kept free for the query for slots in use.
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
    private int mConsecutiveFailures;
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

    /** Marks the executor as no longer in the host list, so that it gets no new requests. */
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

    /** Returns the number of slots available to new requests. */
    int freeSlots() {
        if (!isUsable()) {
            return 0;
        }
        int slots = mInfo.slots() - slotsInUse();
        int connections = mInfo.connections() - RESERVED_CONNECTIONS - slotsInUse();
        // After a failure the executor gets one request at a time until a request succeeds.
        int probeLimit = mConsecutiveFailures > 0 ? 1 - mHeldSlots : Integer.MAX_VALUE;
        return Math.max(0, Math.min(probeLimit, Math.min(slots, connections)));
    }

    /**
     * Returns whether class BULK may use one more slot. Unless its share is 0, it may always use at
     * least one.
     */
    boolean admitsBulk(int bulkSharePercent) {
        int limit = mInfo.slots() * bulkSharePercent / 100;
        int minimum = bulkSharePercent > 0 ? 1 : 0;
        return mBulkSlots < Math.max(minimum, limit);
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

    /** Converts a held slot into an uncertain one. */
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
        mConsecutiveFailures = 0;
        mUnknownOutcomes = 0;
    }

    /** Stops sending requests to the executor until it answers a query. */
    void suspend(long nowMillis) {
        mSuspended = true;
        backOff(nowMillis);
    }

    /** Discards the count after the executor refused a request for which a slot seemed free. */
    void invalidateCount(long nowMillis) {
        mCountKnown = false;
        mNextQueryMillis = nowMillis;
    }

    /** Returns whether a query for slots in use is due now, and if so marks it as pending. */
    boolean beginQueryIfDue(long nowMillis) {
        updateDrain(nowMillis);
        boolean isNeeded = !mCountKnown || mSuspended || mUncertainSlots > 0;
        if (!isNeeded || mQueryPending || nowMillis < mNextQueryMillis) {
            return false;
        }
        mQueryPending = true;
        return true;
    }

    /**
     * Returns whether slots have been uncertain for so long that the executor has to be drained.
     * While requests of this owner run there, the reported number cannot show that the uncertain
     * slots are free.
     */
    boolean needsDrain(long nowMillis) {
        return mCountKnown
                && !mDraining
                && mUncertainSlots > 0
                && nowMillis - mUncertainSinceMillis >= mDrainDelayMillis;
    }

    /**
     * Stops sending requests to the executor until no slot is uncertain or until the executor has
     * answered a query while no slot was held.
     */
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

    /**
     * Handles the answer to a query.
     *
     * @param reportedInUse slots in use, as reported by the executor
     * @param sentMillis monotonic time at which the query was sent
     */
    void onQueryAnswered(int reportedInUse, long sentMillis, long nowMillis) {
        mQueryPending = false;
        mSuspended = false;
        mNextQueryMillis = nowMillis + QUERY_INTERVAL_MILLIS;
        if (!mCountKnown) {
            mCountKnown = true;
            mUncertainSlots = Math.max(0, reportedInUse - mHeldSlots);
            mUncertainSinceMillis = nowMillis;
            return;
        }
        if (sentMillis - mLastUncertainMillis < MIN_UNCERTAIN_MILLIS) {
            return;
        }
        // The report includes the requests of this owner, so it is only an upper bound of the
        // uncertain slots.
        mUncertainSlots = Math.min(mUncertainSlots, reportedInUse);
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
        int shift = Math.min(MAX_BACKOFF_SHIFT, mConsecutiveFailures);
        mConsecutiveFailures++;
        mNextQueryMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, QUERY_INTERVAL_MILLIS << shift);
    }
}
