package org.hyssoprouter.standin.executor;

import org.hyssoprouter.standin.executor.ExecutorFaultState.Outcome;

/**
 * Faults of an executor.
 *
 * @param silent whether calls are accepted and neither acted on nor answered
 * @param delayMillis time by which requests start late
 * @param failAll whether every request runs and is answered with 500
 * @param refuseAll whether every request is answered with 429 and not run
 * @param cutBeforeRun number of requests whose connection is closed before they run
 * @param cutAfterRun number of requests that run and whose connection is closed without an answer
 * @param cutInAnswer number of requests that run and of whose answer only half is sent
 * @param silenceOpen order to make the connections that are open now silent for good
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

    /** Returns how the next request ends. */
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

    /** Returns these faults after a request ended as {@code ending}, without orders of once. */
    ExecutorFaults afterRequest(Outcome ending) {
        return new ExecutorFaults(
                silent,
                delayMillis,
                failAll,
                refuseAll,
                cutBeforeRun - (ending == Outcome.CUT_BEFORE_RUN ? 1 : 0),
                cutAfterRun - (ending == Outcome.CUT_AFTER_RUN ? 1 : 0),
                cutInAnswer - (ending == Outcome.CUT_IN_ANSWER ? 1 : 0),
                false);
    }
}
