package org.hyssoprouter.daemon.peer;

import java.util.concurrent.locks.ReentrantLock;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.TokenBucket;

/**
 * Limits the bytes that a daemon sends to other regions, with one token bucket for all connections.
 * Each traffic class leaves a share of the burst to the higher classes. Safe for use by several
 * threads.
 */
final class CrossRegionRateLimiter {
    private static final double NORMAL_RESERVE_FRACTION = 0.25;
    private static final double BULK_RESERVE_FRACTION = 0.5;

    private final CrossRegionLimit mLimit;
    private final MonotonicClock mClock;
    private final ReentrantLock mLock = new ReentrantLock();
    // Guarded by mLock.
    private final TokenBucket mBucket;

    CrossRegionRateLimiter(CrossRegionLimit limit, MonotonicClock clock) {
        mLimit = limit;
        mClock = clock;
        mBucket = new TokenBucket(limit.bytesPerSecond(), limit.burstBytes(), clock.millis());
    }

    /**
     * Takes tokens for a frame of a class.
     *
     * @return false, with nothing taken, if the class must wait
     */
    boolean tryAcquire(int bytes, TrafficClass trafficClass) {
        mLock.lock();
        try {
            return mBucket.tryAcquire(bytes, reserveBytes(trafficClass), mClock.millis());
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the milliseconds until a class may take the bytes if nothing else is sent. */
    long millisUntilAvailable(int bytes, TrafficClass trafficClass) {
        mLock.lock();
        try {
            return mBucket.millisUntilAvailable(
                    bytes + reserveBytes(trafficClass), mClock.millis());
        } finally {
            mLock.unlock();
        }
    }

    private double reserveBytes(TrafficClass trafficClass) {
        return switch (trafficClass) {
            case URGENT -> 0;
            case NORMAL -> NORMAL_RESERVE_FRACTION * mLimit.burstBytes();
            case BULK -> BULK_RESERVE_FRACTION * mLimit.burstBytes();
        };
    }
}
