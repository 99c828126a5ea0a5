package org.hyssoprouter.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.hyssoprouter.util.TokenBucket;

/**
 * Limits the requests per second of each customer at one entry daemon. Safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class CustomerRateLimiter {
    private final ReentrantLock mLock = new ReentrantLock();
    // Guarded by mLock.
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();

    /**
     * Admits a request of a known customer if it is within the limit.
     *
     * @param perSecond limit in requests per second; a burst of as many requests as the limit
     *     allows in one second is accepted
     * @return 0 if the request is admitted, otherwise the time in milliseconds after which to retry
     */
    public long admit(String customer, int perSecond, long nowMillis) {
        mLock.lock();
        try {
            TokenBucket bucket = mBuckets.get(customer);
            if (bucket == null || bucket.perSecond() != perSecond) {
                bucket = new TokenBucket(perSecond, Math.max(1, perSecond), nowMillis);
                mBuckets.put(customer, bucket);
            }
            return bucket.tryAcquire(1, 0, nowMillis)
                    ? 0
                    : Math.max(1, bucket.millisUntilAvailable(1, nowMillis));
        } finally {
            mLock.unlock();
        }
    }
}
