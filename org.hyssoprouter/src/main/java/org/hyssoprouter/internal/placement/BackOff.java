package org.hyssoprouter.internal.placement;

/** Computes the exponential back-off of a task between two attempts. */
final class BackOff {
    private static final long INITIAL_DELAY_MILLIS = 500;
    private static final long MAX_DELAY_MILLIS = 30_000;

    private BackOff() {}

    /** Returns the delay before the next attempt, which doubles with each failure up to a limit. */
    static long delayMillis(int failures) {
        int doublings = Math.min(16, Math.max(0, failures - 1));
        return Math.min(MAX_DELAY_MILLIS, INITIAL_DELAY_MILLIS << doublings);
    }
}
