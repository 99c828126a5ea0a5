package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.util.TokenBucket;

/**
 * Decides when a transaction without an answer is sent a second time. Answers links that lose
 * single packets: the retransmission of one delays a transaction by several times its usual
 * duration, and all starts in it. A store that is slow for all transactions is not asked twice, as
 * the usual duration grows with it. Not thread-safe.
 */
final class HedgePolicy {
    /** Shortest delay: half of the shortest time after which TCP retransmits a packet. */
    static final long MIN_DELAY_MILLIS = 100;

    /** Ratio of the delay to the usual duration of a transaction. */
    static final double DELAY_FACTOR = 3;

    /** Weight of the last transaction in the usual duration: one over this. */
    private static final double SMOOTHING = 8;

    /** Second transactions a second that one daemon may send; the store limits all daemons. */
    private static final double MAX_PER_SECOND = 2;

    private final TokenBucket mBudget;
    private double mUsualMillis;

    HedgePolicy(long nowMillis) {
        mBudget = new TokenBucket(MAX_PER_SECOND, MAX_PER_SECOND, nowMillis);
    }

    /** Records the duration of a transaction that the store has answered, in milliseconds. */
    void recordDuration(long millis) {
        mUsualMillis += (millis - mUsualMillis) / SMOOTHING;
    }

    /** Returns the time without an answer after which a transaction may be sent again. */
    long delayMillis() {
        return Math.max(MIN_DELAY_MILLIS, Math.round(DELAY_FACTOR * mUsualMillis));
    }

    /** Returns whether a second transaction may be sent now, and counts it. */
    boolean tryHedge(long nowMillis) {
        return mBudget.tryAcquire(1, 0, nowMillis);
    }
}
