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

    /** Time after which a reading is replaced by later ones, as the clocks may drift apart. */
    private static final long WINDOW_MILLIS = 30_000;

    private final MonotonicClock mClock;
    private boolean mKnown;

    /** Highest offset of the store's clock from the local one in this window and the former one. */
    private long mOffsetMillis;

    private long mFormerOffsetMillis;
    private long mWindowStartMillis;

    StoreClock(MonotonicClock clock) {
        mClock = clock;
    }

    /** Records the time in an answer of the store, in milliseconds. */
    synchronized void recordReading(long storeMillis) {
        if (storeMillis == UNKNOWN) {
            return;
        }
        long nowMillis = mClock.millis();
        long offsetMillis = storeMillis - nowMillis;
        if (!mKnown) {
            mKnown = true;
            mOffsetMillis = offsetMillis;
            mFormerOffsetMillis = offsetMillis;
            mWindowStartMillis = nowMillis;
        } else if (nowMillis - mWindowStartMillis >= WINDOW_MILLIS) {
            mFormerOffsetMillis = mOffsetMillis;
            mOffsetMillis = offsetMillis;
            mWindowStartMillis = nowMillis;
        } else {
            mOffsetMillis = Math.max(mOffsetMillis, offsetMillis);
        }
    }

    private long offsetMillis() {
        return Math.max(mOffsetMillis, mFormerOffsetMillis);
    }

    /** Returns the time of the store in milliseconds, or {@link #UNKNOWN}. */
    synchronized long millis() {
        return mKnown ? mClock.millis() + offsetMillis() : UNKNOWN;
    }

    /** Returns how the local clock relates to that of the store. */
    synchronized StoreOffset offset() {
        return mKnown ? new StoreOffset(offsetMillis(), true) : StoreOffset.UNKNOWN;
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
