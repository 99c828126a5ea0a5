package org.hyssoprouter.errors;

import org.hyssoprouter.lib.Verdict;

/**
 * Failure of a call to a worker, an executor or a peer.
 *
 * @param kind what went wrong
 * @param verdict whether the call may have had its effect
 * @param message text for logs
 * @since 0.1
 */
public record CallError(Kind kind, Verdict verdict, String message) {
    /** What went wrong with a call. */
    public enum Kind {
        /** No connection could be made, or the call was never written. */
        UNREACHABLE,
        /** The far side refused: older epoch, lapsed lease or past not-after instant. */
        REFUSED,
        /** No complete answer within the deadline. */
        TIMEOUT,
        /** The connection broke after the first byte went out. */
        BROKEN,
        /** The local queue to the far side is full. */
        BUSY,
        /** Something else answers at the address: what was there has ended. */
        GONE
    }

    /** Returns a failure of which it is certain that nothing ran. */
    public static CallError notRun(Kind kind, String message) {
        return new CallError(kind, Verdict.NOT_RUN, message);
    }

    /** Returns a failure after which the call may have run. */
    public static CallError mayHaveRun(Kind kind, String message) {
        return new CallError(kind, Verdict.MAY_HAVE_RUN, message);
    }
}
