package org.hyssoprouter.internal.placement;

/** Time that a failed task waits before its next attempt. */
final class BackOff {
    private static final long INITIAL_DELAY_MILLIS = 500;
    private static final long MAX_DELAY_MILLIS = 30_000;

    private BackOff() {}

    /** Returns the time to wait after a number of failures; it doubles with each. */
    static long delayMillis(int failures) {
        int doublings = Math.min(16, Math.max(0, failures - 1));
        return Math.min(MAX_DELAY_MILLIS, INITIAL_DELAY_MILLIS << doublings);
    }
}
