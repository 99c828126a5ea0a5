package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.internal.workflow.StoreOffset;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Steady clock that all daemons share, as the table store reports it with each answer. Between
 * answers, the time goes on by the local clock. Thread-safe.
 */
final class StoreClock {
    /** Time before the first answer of the store. */
    static final long UNKNOWN = 0;

    private final MonotonicClock mClock;
    private long mStoreMillis = UNKNOWN;
    private long mReadAtMillis;

    StoreClock(MonotonicClock clock) {
        mClock = clock;
    }

    /** Records the time in an answer of the store, in milliseconds. */
    synchronized void recordReading(long storeMillis) {
        long nowMillis = mClock.millis();
        if (storeMillis > mStoreMillis + nowMillis - mReadAtMillis || mStoreMillis == UNKNOWN) {
            mStoreMillis = storeMillis;
            mReadAtMillis = nowMillis;
        }
    }

    /** Returns the time of the store in milliseconds, or {@link #UNKNOWN}. */
    synchronized long millis() {
        return mStoreMillis == UNKNOWN ? UNKNOWN : mStoreMillis + mClock.millis() - mReadAtMillis;
    }

    /** Returns how the local clock relates to that of the store. */
    synchronized StoreOffset offset() {
        return mStoreMillis == UNKNOWN
                ? StoreOffset.UNKNOWN
                : new StoreOffset(mStoreMillis - mReadAtMillis, true);
    }

    /**
     * Converts a time of the store to one of the local clock. A time that is unknown or lies ahead
     * counts as now.
     */
    long toLocalMillis(long storeMillis) {
        long nowMillis = mClock.millis();
        long storeNowMillis = millis();
        if (storeMillis == UNKNOWN || storeNowMillis == UNKNOWN) {
            return nowMillis;
        }
        return nowMillis - Math.max(0, storeNowMillis - storeMillis);
    }
}
