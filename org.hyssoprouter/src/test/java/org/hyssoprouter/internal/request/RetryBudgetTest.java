package org.hyssoprouter.internal.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    @Test
    void limitsRetriesToAShareOfFirstAttempts() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.recordFirstAttempt("c", 20);
            retries += budget.trySpend("c") ? 1 : 0;
        }
        // 200 retries are 20 percent of the first attempts; 3 are in the budget initially.
        assertEquals(203, retries, 1);
    }

    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(5)
                .invocationsPerIteration(50)
                .threads(2)
                .actorsPerThread(2)
                .check(Operations.class);
    }

    /** Operations whose interleavings Lincheck explores. */
    public static class Operations {
        private final RetryBudget mBudget = new RetryBudget();

        @Operation
        public void firstTry() {
            mBudget.recordFirstAttempt("c", 50);
        }

        @Operation
        public boolean trySpend() {
            return mBudget.trySpend("c");
        }
    }
}
