package org.hyssoprouter.standin.executor;

import org.hyssoprouter.standin.executor.ExecutorFaultState.Outcome;

/**
 * Fault settings of a simulated executor.
 *
 * @param silent whether calls are received but neither executed nor answered
 * @param delayMillis delay before a request is executed
 * @param failAll whether every request is executed and answered with 500
 * @param refuseAll whether every request is answered with 429 and not executed
 * @param cutBeforeRun number of requests whose connection is closed before they are executed
 * @param cutAfterRun number of requests whose connection is closed after they are executed, without
 *     a response
 * @param cutInAnswer number of requests that are executed and whose response is truncated
 * @param silenceOpen in an update, whether to silence all currently open connections permanently;
 *     false in stored settings
 * @since 0.1
 */
public record ExecutorFaults(
        boolean silent,
        long delayMillis,
        boolean failAll,
        boolean refuseAll,
        int cutBeforeRun,
        int cutAfterRun,
        int cutInAnswer,
        boolean silenceOpen) {
    static final ExecutorFaults NONE = new ExecutorFaults(false, 0, false, false, 0, 0, 0, false);

    /** Returns the outcome of the next request. */
    Outcome nextOutcome() {
        if (refuseAll) {
            return Outcome.REFUSED;
        }
        if (cutBeforeRun > 0) {
            return Outcome.CUT_BEFORE_RUN;
        }
        if (cutAfterRun > 0) {
            return Outcome.CUT_AFTER_RUN;
        }
        return cutInAnswer > 0 ? Outcome.CUT_IN_ANSWER : Outcome.ANSWERED;
    }

    /**
     * Returns the settings after a request with {@code outcome}: its counter is decremented and
     * {@code silenceOpen} is cleared.
     */
    ExecutorFaults afterRequest(Outcome outcome) {
        return new ExecutorFaults(
                silent,
                delayMillis,
                failAll,
                refuseAll,
                cutBeforeRun - (outcome == Outcome.CUT_BEFORE_RUN ? 1 : 0),
                cutAfterRun - (outcome == Outcome.CUT_AFTER_RUN ? 1 : 0),
                cutInAnswer - (outcome == Outcome.CUT_IN_ANSWER ? 1 : 0),
                false);
    }
}
