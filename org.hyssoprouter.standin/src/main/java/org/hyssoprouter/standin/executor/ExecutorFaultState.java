package org.hyssoprouter.standin.executor;

import java.io.IOException;
import org.hyssoprouter.standin.FaultMerger;

/** Thread-safe holder of the current fault settings of one executor. */
final class ExecutorFaultState {
    private ExecutorFaults mFaults = ExecutorFaults.NONE;

    /**
     * Applies a JSON update; absent fields keep their value.
     *
     * @return whether the update silences the currently open connections
     * @throws IOException if the update is malformed or names an unknown field
     */
    synchronized boolean update(byte[] json) throws IOException {
        ExecutorFaults updated = FaultMerger.merge(mFaults, json, ExecutorFaults.class);
        mFaults = updated.afterRequest(Outcome.ANSWERED);
        return updated.silenceOpen();
    }

    synchronized boolean isSilent() {
        return mFaults.silent();
    }

    /** Returns the fault that applies to the next request and decrements its counter. */
    synchronized RequestFault nextRequestFault() {
        Outcome outcome = mFaults.nextOutcome();
        RequestFault fault = new RequestFault(mFaults.delayMillis(), mFaults.failAll(), outcome);
        mFaults = mFaults.afterRequest(outcome);
        return fault;
    }

    /** Outcome of a request. */
    enum Outcome {
        ANSWERED,
        REFUSED,
        CUT_BEFORE_RUN,
        CUT_AFTER_RUN,
        CUT_IN_ANSWER
    }

    /** Fault settings that apply to one request. */
    record RequestFault(long delayMillis, boolean fails, Outcome outcome) {}
}
