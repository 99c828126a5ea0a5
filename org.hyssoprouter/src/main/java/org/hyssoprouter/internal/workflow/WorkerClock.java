package org.hyssoprouter.internal.workflow;

/** Relates the steady clock of a worker to ours, and follows the leases given by it. */
final class WorkerClock {
    private final SchedulerLimits mLimits;
    private boolean mKnown;
    private long mWorkerMillis;
    private long mLocalMillis;
    private long mLatestLeaseEndMillis;

    WorkerClock(SchedulerLimits limits) {
        mLimits = limits;
    }

    boolean isKnown() {
        return mKnown;
    }

    /** Takes note of a reading that arrived at {@code nowMillis}. */
    void recordReading(long theirMillis, long nowMillis) {
        if (mKnown && theirMillis < earliestWorkerMillis(nowMillis)) {
            return;
        }
        if (!mKnown) {
            // A former owner may have given a lease just before.
            mLatestLeaseEndMillis = theirMillis + mLimits.leaseMillis();
        }
        mKnown = true;
        mWorkerMillis = theirMillis;
        mLocalMillis = nowMillis;
    }

    void reset() {
        mKnown = false;
        mLatestLeaseEndMillis = 0;
    }

    /** Returns the deadline, on the worker's clock, of a lease given now; 0 if it is unknown. */
    long grantLease(long nowMillis) {
        if (!mKnown) {
            return 0;
        }
        long deadline = mWorkerMillis + (nowMillis - mLocalMillis) + mLimits.leaseMillis();
        mLatestLeaseEndMillis = Math.max(mLatestLeaseEndMillis, deadline);
        return deadline;
    }

    /** Returns whether every lease that was given has certainly run out. */
    boolean allLeasesExpired(long nowMillis) {
        return mKnown
                && earliestWorkerMillis(nowMillis)
                        > mLatestLeaseEndMillis + SchedulerLimits.LEASE_MARGIN_MILLIS;
    }

    private long earliestWorkerMillis(long nowMillis) {
        return mWorkerMillis
                + (long) ((nowMillis - mLocalMillis) / SchedulerLimits.MAX_CLOCK_SLOWDOWN);
    }
}
