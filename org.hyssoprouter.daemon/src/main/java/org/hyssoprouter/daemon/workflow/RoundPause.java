package org.hyssoprouter.daemon.workflow;

/**
 * Pause between two placement rounds, in which the owner handles answers. Changes in between share
 * the next round; with a backlog, rounds are long and must not take the whole thread.
 */
final class RoundPause {
    private static final long MIN_MILLIS = 4;
    private static final long MAX_MILLIS = 200;

    /** Pause as a multiple of the duration of the round. */
    private static final long FACTOR = 2;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private RoundPause() {}

    /** Returns the pause after a round, in milliseconds. */
    static long millisAfter(long roundNanos) {
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, FACTOR * roundNanos / NANOS_PER_MILLI));
    }
}
