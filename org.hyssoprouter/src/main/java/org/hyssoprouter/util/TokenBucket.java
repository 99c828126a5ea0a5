package org.hyssoprouter.util;

/**
 * Budget that refills at a constant rate up to a limit. Not safe for use by several threads.
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
     * @param perSecond tokens that come back in a second
     * @param capacity most tokens that it holds
     */
    public TokenBucket(double perSecond, double capacity, long nowMillis) {
        mPerSecond = perSecond;
        mCapacity = capacity;
        mTokens = capacity;
        mLastRefillMillis = nowMillis;
    }

    /** Returns the tokens a second. */
    public double perSecond() {
        return mPerSecond;
    }

    /**
     * Takes tokens if that leaves a reserve for others.
     *
     * @param reserve tokens that must be there besides those taken
     * @return whether they were taken
     */
    public boolean tryAcquire(double tokens, double reserve, long nowMillis) {
        refill(nowMillis);
        if (mTokens < tokens + reserve) {
            return false;
        }
        mTokens -= tokens;
        return true;
    }

    /** Returns the time in milliseconds until so many tokens are there. */
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
