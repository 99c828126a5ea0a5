package org.hyssoprouter.standin.worker;

/** Epoch and lease of one shard on a worker; guarded by the lock of {@link WorkerState}. */
final class ShardLease {
    private long mHighestEpoch;
    private long mLeaseEpoch;
    private long mExpiryMillis = Long.MIN_VALUE;

    /** Accepts {@code epoch} and records it, unless a newer one was recorded. */
    boolean acceptEpoch(long epoch) {
        if (epoch < mHighestEpoch) {
            return false;
        }
        mHighestEpoch = epoch;
        return true;
    }

    void renew(long epoch, long expiryMillis) {
        mLeaseEpoch = epoch;
        mExpiryMillis = expiryMillis;
    }

    boolean isLive(long nowMillis) {
        return nowMillis < mExpiryMillis;
    }

    /** Returns whether the lease is live and was renewed by {@code epoch}. */
    boolean isHeldBy(long epoch, long nowMillis) {
        return isLive(nowMillis) && mLeaseEpoch == epoch;
    }
}
