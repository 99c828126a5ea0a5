package org.hyssoprouter.internal.journal;

import org.hyssoprouter.util.MonotonicClock;

/**
 * Time on the monotonic clock at which a queued write expires.
 *
 * @param atMillis monotonic time in milliseconds, or {@link Long#MAX_VALUE} for no deadline
 */
record Deadline(long atMillis) {
    /** Returns the deadline {@code withinMillis} from now; 0 or less means no deadline. */
    static Deadline after(MonotonicClock clock, long withinMillis) {
        return new Deadline(withinMillis <= 0 ? Long.MAX_VALUE : clock.millis() + withinMillis);
    }

    boolean hasPassed(long nowMillis) {
        return nowMillis >= atMillis;
    }
}
