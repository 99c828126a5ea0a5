package org.hyssoprouter.standin.worker;

/** Epoch and lease of one shard on a worker; guarded by the lock of its {@link WorkerState}. */
final class ShardLease {
    private long mEpoch;
    private long mLeaseEpoch;
    private long mUntilMillis = Long.MIN_VALUE;

    /** Remembers {@code epoch} unless it is older than one seen; returns whether it is not. */
    boolean admit(long epoch) {
        if (epoch < mEpoch) {
            return false;
        }
        mEpoch = epoch;
        return true;
    }

    void renew(long epoch, long untilMillis) {
        mLeaseEpoch = epoch;
        mUntilMillis = untilMillis;
    }

    boolean isLive(long nowMillis) {
        return nowMillis < mUntilMillis;
    }

    /** Returns whether {@code epoch} holds a live lease. */
    boolean isHeldBy(long epoch, long nowMillis) {
        return isLive(nowMillis) && mLeaseEpoch == epoch;
    }
}
