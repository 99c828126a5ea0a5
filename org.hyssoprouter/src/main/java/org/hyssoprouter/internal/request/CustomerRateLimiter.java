package org.hyssoprouter.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.hyssoprouter.util.TokenBucket;

/**
 * Requests a second that each customer may send through one entry. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class CustomerRateLimiter {
    private final ReentrantLock mLock = new ReentrantLock();
    // Guarded by mLock.
    private final Map<String, TokenBucket> mBuckets = new HashMap<>();

    /**
     * Counts a request of a known customer.
     *
     * @param perSecond limit; a burst of one second's worth is allowed
     * @return 0 if the request is within the limit, else the time to come back in milliseconds
     */
    public long admit(String customer, int perSecond, long nowMillis) {
        mLock.lock();
        try {
            TokenBucket bucket = mBuckets.get(customer);
            if (bucket == null || bucket.perSecond() != perSecond) {
                bucket = new TokenBucket(perSecond, Math.max(1, perSecond), nowMillis);
                mBuckets.put(customer, bucket);
            }
            return bucket.tryTake(1, 0, nowMillis)
                    ? 0
                    : Math.max(1, bucket.millisUntil(1, nowMillis));
        } finally {
            mLock.unlock();
        }
    }
}
