package org.hyssoprouter.standin.executor;

import java.io.IOException;
import org.hyssoprouter.standin.FaultOrder;

/** Faults in force at one executor, under its own lock. */
final class FaultPlan {
    private ExecutorFaults mFaults = ExecutorFaults.NONE;

    /**
     * Takes an order; fields that it leaves out keep their value.
     *
     * @return whether the connections that are open now are to fall silent
     * @throws IOException if the order is malformed
     */
    synchronized boolean order(byte[] json) throws IOException {
        ExecutorFaults ordered = FaultOrder.apply(mFaults, json, ExecutorFaults.class);
        mFaults = ordered.after(Ending.ANSWERED);
        return ordered.silenceOpen();
    }

    synchronized boolean isSilent() {
        return mFaults.silent();
    }

    /** Decides the fate of one request, which uses up a counted fault. */
    synchronized Fate next() {
        Ending ending = mFaults.nextEnding();
        Fate fate = new Fate(mFaults.delayMillis(), mFaults.failAll(), ending);
        mFaults = mFaults.after(ending);
        return fate;
    }

    /** How a request ends. */
    enum Ending {
        ANSWERED,
        REFUSED,
        CUT_BEFORE_RUN,
        CUT_AFTER_RUN,
        CUT_IN_ANSWER
    }

    /** What happens to one request. */
    record Fate(long delayMillis, boolean fails, Ending ending) {}
}
