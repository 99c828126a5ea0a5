package org.hyssoprouter.daemon.peer;

import java.util.concurrent.locks.ReentrantLock;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.TokenBucket;

/**
 * Bytes that a daemon may send to other regions, shared by all of its connections there. Each class
 * leaves a part of the burst to the more pressing ones. Safe for use by several threads.
 */
final class CrossRegionRateLimiter {
    private static final double NORMAL_RESERVE = 0.25;
    private static final double BULK_RESERVE = 0.5;

    private final CrossRegionLimit mLimit;
    private final MonotonicClock mClock;
    private final ReentrantLock mLock = new ReentrantLock();
    // Guarded by mLock.
    private final TokenBucket mBucket;

    CrossRegionRateLimiter(CrossRegionLimit settings, MonotonicClock clock) {
        mLimit = settings;
        mClock = clock;
        mBucket = new TokenBucket(settings.bytesPerSecond(), settings.burstBytes(), clock.millis());
    }

    /** Takes bytes of a class; returns false if it has to wait. */
    boolean tryTake(int bytes, TrafficClass trafficClass) {
        mLock.lock();
        try {
            return mBucket.tryAcquire(bytes, reserveBytes(trafficClass), mClock.millis());
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the time until a class may take so many bytes if nobody else does. */
    long millisUntil(int bytes, TrafficClass trafficClass) {
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
            case NORMAL -> NORMAL_RESERVE * mLimit.burstBytes();
            case BULK -> BULK_RESERVE * mLimit.burstBytes();
        };
    }
}
