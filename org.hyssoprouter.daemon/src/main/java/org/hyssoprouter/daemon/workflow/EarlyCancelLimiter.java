package org.hyssoprouter.daemon.workflow;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.TokenBucket;

/**
 * Bounds what cancellations of workflows without a row cost the table: a repeat is not written
 * again for a while, and a daemon writes a limited number of them. Thread-safe.
 */
final class EarlyCancelLimiter {
    /** Time for which a repeat is not written again; a part of the retention of the row. */
    static final long REPEAT_MILLIS = EarlyCancels.RETENTION_MILLIS / 4;

    static final int BURST = 200;
    private static final double RATE_PER_SECOND = 20;
    private static final int MAX_REMEMBERED = 2_000;

    private final MonotonicClock mClock;

    // Guarded by this.
    private final TokenBucket mBucket;
    private final Map<String, Long> mWrittenMillis = new LinkedHashMap<>();

    EarlyCancelLimiter(MonotonicClock clock) {
        mClock = clock;
        mBucket = new TokenBucket(RATE_PER_SECOND, BURST, clock.millis());
    }

    /** Returns whether a row was written a short time ago. */
    synchronized boolean isRepeat(String key) {
        Long writtenMillis = mWrittenMillis.get(key);
        return writtenMillis != null && mClock.millis() - writtenMillis < REPEAT_MILLIS;
    }

    /** Returns whether another row may be written now. */
    synchronized boolean tryWrite() {
        return mBucket.tryAcquire(1, 0, mClock.millis());
    }

    /** Records that a row is durable whose write began at a time, in milliseconds. */
    synchronized void recordWritten(String key, long startMillis) {
        mWrittenMillis.remove(key);
        mWrittenMillis.put(key, startMillis);
        if (mWrittenMillis.size() > MAX_REMEMBERED) {
            mWrittenMillis.remove(mWrittenMillis.keySet().iterator().next());
        }
    }
}
