package org.hyssoprouter.internal.journal;

/**
 * Token bucket over rows written; holds at most one second's worth. A group may overdraw it, and
 * the next one then waits until the debt is paid.
 */
final class WriteBudget {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final int mWritesPerSecond;
    private double mTokens;
    private long mRefilledAtMillis;

    WriteBudget(int writesPerSecond, long nowMillis) {
        mWritesPerSecond = writesPerSecond;
        mTokens = writesPerSecond;
        mRefilledAtMillis = nowMillis;
    }

    /** Returns the time in milliseconds until a group may be sent; 0 for now. */
    long waitMillis(long nowMillis) {
        refill(nowMillis);
        if (mTokens > 0) {
            return 0;
        }
        return 1 + (long) (-mTokens * MILLIS_PER_SECOND / mWritesPerSecond);
    }

    void spend(int writes) {
        mTokens -= writes;
    }

    private void refill(long nowMillis) {
        double earned = (nowMillis - mRefilledAtMillis) * mWritesPerSecond / MILLIS_PER_SECOND;
        mTokens = Math.min(mWritesPerSecond, mTokens + earned);
        mRefilledAtMillis = nowMillis;
    }
}
