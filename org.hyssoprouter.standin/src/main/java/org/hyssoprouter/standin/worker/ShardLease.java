package org.hyssoprouter.standin.worker;

/** Epoch and lease of one shard on a worker; guarded by the lock of its {@link WorkerState}. */
final class ShardLease {
    private long mHighestEpoch;
    private long mLeaseEpoch;
    private long mExpiryMillis = Long.MIN_VALUE;

    /** Remembers {@code epoch} unless it is older than one seen; returns whether it is not. */
    boolean acceptEpoch(long epoch) {
        if (epoch < mHighestEpoch) {
            return false;
        }
        mHighestEpoch = epoch;
        return true;
    }

    void renew(long epoch, long untilMillis) {
        mLeaseEpoch = epoch;
        mExpiryMillis = untilMillis;
    }

    boolean isLive(long nowMillis) {
        return nowMillis < mExpiryMillis;
    }

    /** Returns whether {@code epoch} holds a live lease. */
    boolean isHeldBy(long epoch, long nowMillis) {
        return isLive(nowMillis) && mLeaseEpoch == epoch;
    }
}
