package org.hyssoprouter.standin.executor;

import java.io.IOException;
import org.hyssoprouter.standin.FaultMerger;

/** Faults in force at one executor, under its own lock. */
final class ExecutorFaultState {
    private ExecutorFaults mFaults = ExecutorFaults.NONE;

    /**
     * Takes an order; fields that it leaves out keep their value.
     *
     * @return whether the connections that are open now are to fall silent
     * @throws IOException if the order is malformed
     */
    synchronized boolean update(byte[] json) throws IOException {
        ExecutorFaults ordered = FaultMerger.merge(mFaults, json, ExecutorFaults.class);
        mFaults = ordered.afterRequest(Outcome.ANSWERED);
        return ordered.silenceOpen();
    }

    synchronized boolean isSilent() {
        return mFaults.silent();
    }

    /** Decides the fate of one request, which uses up a counted fault. */
    synchronized RequestFault nextRequestFault() {
        Outcome ending = mFaults.nextOutcome();
        RequestFault fate = new RequestFault(mFaults.delayMillis(), mFaults.failAll(), ending);
        mFaults = mFaults.afterRequest(ending);
        return fate;
    }

    /** How a request ends. */
    enum Outcome {
        ANSWERED,
        REFUSED,
        CUT_BEFORE_RUN,
        CUT_AFTER_RUN,
        CUT_IN_ANSWER
    }

    /** What happens to one request. */
    record RequestFault(long delayMillis, boolean fails, Outcome outcome) {}
}
