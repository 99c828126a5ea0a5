package org.hyssoprouter.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Retries of each customer, as a share of its first tries, so that a fault does not multiply the
 * load. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RetryBudget {
    private static final double PERCENT = 100.0;
    private static final double MAX_SAVED_RETRIES = 20;
    private static final double INITIAL_RETRIES = 3;
    private static final int MAX_CUSTOMERS = 10_000;

    private final ReentrantLock mLock = new ReentrantLock();
    // Guarded by mLock.
    private final Map<String, Double> mRetries = new HashMap<>();

    /**
     * Counts a first try.
     *
     * @param budgetPercent retries that it earns, in percent
     */
    public void recordFirstAttempt(String customer, int budgetPercent) {
        mLock.lock();
        try {
            if (mRetries.size() >= MAX_CUSTOMERS && !mRetries.containsKey(customer)) {
                return;
            }
            double saved = mRetries.getOrDefault(customer, INITIAL_RETRIES);
            double earned = budgetPercent / PERCENT;
            mRetries.put(customer, Math.min(MAX_SAVED_RETRIES, saved + earned));
        } finally {
            mLock.unlock();
        }
    }

    /** Spends one retry; returns false if none is left. */
    public boolean trySpend(String customer) {
        mLock.lock();
        try {
            double saved = mRetries.getOrDefault(customer, 0.0);
            if (saved < 1) {
                return false;
            }
            mRetries.put(customer, saved - 1);
            return true;
        } finally {
            mLock.unlock();
        }
    }
}
