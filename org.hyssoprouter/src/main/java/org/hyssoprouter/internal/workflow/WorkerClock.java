package org.hyssoprouter.internal.workflow;

/** Relates the steady clock of a worker to ours, and follows the leases given by it. */
final class WorkerClock {
    private final SchedulerLimits mLimits;
    private boolean mKnown;
    private long mTheirMillis;
    private long mOurMillis;
    private long mLatestDeadlineMillis;

    WorkerClock(SchedulerLimits limits) {
        mLimits = limits;
    }

    boolean isKnown() {
        return mKnown;
    }

    /** Takes note of a reading that arrived at {@code nowMillis}. */
    void read(long theirMillis, long nowMillis) {
        if (mKnown && theirMillis < earliest(nowMillis)) {
            return;
        }
        if (!mKnown) {
            // A former owner may have given a lease just before.
            mLatestDeadlineMillis = theirMillis + mLimits.leaseMillis();
        }
        mKnown = true;
        mTheirMillis = theirMillis;
        mOurMillis = nowMillis;
    }

    void reset() {
        mKnown = false;
        mLatestDeadlineMillis = 0;
    }

    /** Returns the deadline, on the worker's clock, of a lease given now; 0 if it is unknown. */
    long deadline(long nowMillis) {
        if (!mKnown) {
            return 0;
        }
        long deadline = mTheirMillis + (nowMillis - mOurMillis) + mLimits.leaseMillis();
        mLatestDeadlineMillis = Math.max(mLatestDeadlineMillis, deadline);
        return deadline;
    }

    /** Returns whether every lease that was given has certainly run out. */
    boolean leasesLapsed(long nowMillis) {
        return mKnown
                && earliest(nowMillis) > mLatestDeadlineMillis + SchedulerLimits.MARGIN_MILLIS;
    }

    private long earliest(long nowMillis) {
        return mTheirMillis + (long) ((nowMillis - mOurMillis) / SchedulerLimits.SLOWEST_CLOCK);
    }
}
