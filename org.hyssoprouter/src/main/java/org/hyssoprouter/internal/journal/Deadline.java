package org.hyssoprouter.internal.journal;

import org.hyssoprouter.util.MonotonicClock;

/**
 * Instant of the monotonic clock after which a waiting write is dropped.
 *
 * @param atMillis reading of the clock, or {@link Long#MAX_VALUE} for never
 */
record Deadline(long atMillis) {
    static Deadline after(MonotonicClock clock, long withinMillis) {
        return new Deadline(withinMillis <= 0 ? Long.MAX_VALUE : clock.millis() + withinMillis);
    }

    boolean hasPassed(long nowMillis) {
        return nowMillis >= atMillis;
    }
}
