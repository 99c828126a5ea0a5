package org.hyssoprouter.internal.workflow;

/**
 * Maps a worker's monotonic clock to the owner's and tracks the latest end of the worker's leases.
 */
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

    /**
     * Records a clock reading that arrived at {@code nowMillis}. Ignores a reading that is older
     * than the current estimate allows.
     */
    void recordReading(long workerMillis, long nowMillis) {
        if (mKnown && workerMillis < earliestWorkerMillis(nowMillis)) {
            return;
        }
        if (!mKnown) {
            // A previous owner may have granted a lease just before this reading.
            mLatestLeaseEndMillis = workerMillis + mLimits.leaseMillis();
        }
        mKnown = true;
        mWorkerMillis = workerMillis;
        mLocalMillis = nowMillis;
    }

    /** Discards the readings and leases of a previous incarnation. */
    void reset() {
        mKnown = false;
        mLatestLeaseEndMillis = 0;
    }

    /**
     * Grants a lease from now. Returns its end on the worker's clock, or 0 if that clock is
     * unknown.
     */
    long grantLease(long nowMillis) {
        if (!mKnown) {
            return 0;
        }
        long leaseEndMillis = mWorkerMillis + (nowMillis - mLocalMillis) + mLimits.leaseMillis();
        mLatestLeaseEndMillis = Math.max(mLatestLeaseEndMillis, leaseEndMillis);
        return leaseEndMillis;
    }

    /** Returns whether all granted leases have expired, even on the slowest permitted clock. */
    boolean allLeasesExpired(long nowMillis) {
        return mKnown
                && earliestWorkerMillis(nowMillis)
                        > mLatestLeaseEndMillis + SchedulerLimits.LEASE_MARGIN_MILLIS;
    }

    /** Returns the earliest time that the worker's clock can show now. */
    private long earliestWorkerMillis(long nowMillis) {
        return mWorkerMillis
                + (long) ((nowMillis - mLocalMillis) / SchedulerLimits.MAX_CLOCK_SLOWDOWN);
    }
}
