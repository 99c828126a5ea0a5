package org.hyssoprouter.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Limits the retries of each customer to a share of its first attempts, so that a fault does not
 * multiply the load. Safe for use by several threads.
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
    private final Map<String, Double> mSavedRetries = new HashMap<>();

    /**
     * Records the first attempt of a request, which adds a fraction of a retry to the budget of its
     * customer.
     *
     * @param budgetPercent retries to add, in percent of one retry
     */
    public void recordFirstAttempt(String customer, int budgetPercent) {
        mLock.lock();
        try {
            if (mSavedRetries.size() >= MAX_CUSTOMERS && !mSavedRetries.containsKey(customer)) {
                return;
            }
            double saved = mSavedRetries.getOrDefault(customer, INITIAL_RETRIES);
            double earned = budgetPercent / PERCENT;
            mSavedRetries.put(customer, Math.min(MAX_SAVED_RETRIES, saved + earned));
        } finally {
            mLock.unlock();
        }
    }

    /** Spends one retry; returns false if the budget of the customer is used up. */
    public boolean trySpend(String customer) {
        mLock.lock();
        try {
            double saved = mSavedRetries.getOrDefault(customer, 0.0);
            if (saved < 1) {
                return false;
            }
            mSavedRetries.put(customer, saved - 1);
            return true;
        } finally {
            mLock.unlock();
        }
    }
}
