package org.hyssoprouter.internal.journal;

/**
 * Token bucket that limits the rows written; holds the tokens of at most one second. A group may
 * overdraw it, and the next group then waits until the balance is positive again.
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

    /** Returns the time in milliseconds until a group may be sent; 0 if it may be sent now. */
    long waitMillis(long nowMillis) {
        refill(nowMillis);
        if (mTokens > 0) {
            return 0;
        }
        return 1 + (long) (-mTokens * MILLIS_PER_SECOND / mWritesPerSecond);
    }

    void consume(int writes) {
        mTokens -= writes;
    }

    private void refill(long nowMillis) {
        double added = (nowMillis - mRefilledAtMillis) * mWritesPerSecond / MILLIS_PER_SECOND;
        mTokens = Math.min(mWritesPerSecond, mTokens + added);
        mRefilledAtMillis = nowMillis;
    }
}
