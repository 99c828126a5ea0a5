package org.hyssoprouter.errors;

import org.hyssoprouter.lib.Verdict;

/**
 * Failure of a call to a worker, an executor or a peer.
 *
 * @param kind reason of the failure
 * @param verdict whether the call may have had its effect
 * @param message details for logs
 * @since 0.1
 */
public record CallError(Kind kind, Verdict verdict, String message) {
    /** Reason of a failed call. */
    public enum Kind {
        /** No connection could be made, or the call was never written. */
        UNREACHABLE,
        /** The host answers that no process listens at the address. */
        ABSENT,
        /**
         * The remote side refused the call: older epoch, expired lease or past not-after instant.
         */
        REFUSED,
        /** No complete answer arrived within the deadline. */
        TIMEOUT,
        /** The connection failed after the first byte was sent. */
        BROKEN,
        /** The local send queue for the remote side is full. */
        BUSY,
        /** Another process answers at the address; the called one has ended. */
        GONE
    }

    /** Returns the failure of a call that certainly did not run. */
    public static CallError notRun(Kind kind, String message) {
        return new CallError(kind, Verdict.NOT_RUN, message);
    }

    /** Returns the failure of a call that may have run. */
    public static CallError mayHaveRun(Kind kind, String message) {
        return new CallError(kind, Verdict.MAY_HAVE_RUN, message);
    }
}
