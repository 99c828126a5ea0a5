package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.lib.Verdict;

/**
 * Result of a submission or cancellation.
 *
 * @param verdict RAN if it is durable, NOT_RUN if it never will be, MAY_HAVE_RUN if that is unknown
 * @param reason reason of a failure, for the log
 * @param retryAfterMillis time after which the caller should retry, in milliseconds
 * @param idInUse whether another workspace has a workflow with the same identifier
 * @since 0.2
 */
public record SubmitResult(Verdict verdict, String reason, long retryAfterMillis, boolean idInUse) {
    static final SubmitResult DONE = new SubmitResult(Verdict.RAN, "", 0, false);
    static final SubmitResult ID_IN_USE = new SubmitResult(Verdict.NOT_RUN, "id: in use", 0, true);

    static SubmitResult notRun(String reason, long retryAfterMillis) {
        return new SubmitResult(Verdict.NOT_RUN, reason, retryAfterMillis, false);
    }

    static SubmitResult mayHaveRun(String reason) {
        return new SubmitResult(Verdict.MAY_HAVE_RUN, reason, 0, false);
    }
}
