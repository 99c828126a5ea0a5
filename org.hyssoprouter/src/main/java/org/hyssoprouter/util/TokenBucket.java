package org.hyssoprouter.util;

/**
 * Token bucket that refills at a constant rate up to its capacity. Not thread-safe.
 *
 * @since 0.1
 */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final double mPerSecond;
    private final double mCapacity;
    private double mTokens;
    private long mLastRefillMillis;

    /**
     * Creates a full bucket.
     *
     * @param perSecond tokens added per second
     * @param capacity maximum number of tokens
     * @param nowMillis current time in milliseconds
     */
    public TokenBucket(double perSecond, double capacity, long nowMillis) {
        mPerSecond = perSecond;
        mCapacity = capacity;
        mTokens = capacity;
        mLastRefillMillis = nowMillis;
    }

    /** Returns the refill rate in tokens per second. */
    public double perSecond() {
        return mPerSecond;
    }

    /**
     * Acquires tokens if at least {@code reserve} tokens remain, which are kept for other callers.
     *
     * @param reserve tokens that must remain in the bucket
     * @return whether the tokens were acquired
     */
    public boolean tryAcquire(double tokens, double reserve, long nowMillis) {
        refill(nowMillis);
        if (mTokens < tokens + reserve) {
            return false;
        }
        mTokens -= tokens;
        return true;
    }

    /**
     * Returns the time in milliseconds until {@code tokens}, at most the capacity, are available.
     */
    public long millisUntilAvailable(double tokens, long nowMillis) {
        refill(nowMillis);
        double missing = Math.min(tokens, mCapacity) - mTokens;
        return missing <= 0 ? 0 : (long) Math.ceil(missing * MILLIS_PER_SECOND / mPerSecond);
    }

    private void refill(long nowMillis) {
        long passedMillis = Math.max(0, nowMillis - mLastRefillMillis);
        mLastRefillMillis = Math.max(mLastRefillMillis, nowMillis);
        mTokens = Math.min(mCapacity, mTokens + passedMillis * mPerSecond / MILLIS_PER_SECOND);
    }
}
