package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.lib.Verdict;

/**
 * Result of a submission or cancellation.
 *
 * @param verdict RAN if it is durable, NOT_RUN if it never will be, MAY_HAVE_RUN if that is unknown
 * @param reason reason of a failure, for the log
 * @param retryAfterMillis time after which the caller should retry, in milliseconds
 * @since 0.2
 */
public record SubmitResult(Verdict verdict, String reason, long retryAfterMillis) {
    static final SubmitResult DONE = new SubmitResult(Verdict.RAN, "", 0);

    static SubmitResult notRun(String reason, long retryAfterMillis) {
        return new SubmitResult(Verdict.NOT_RUN, reason, retryAfterMillis);
    }

    static SubmitResult mayHaveRun(String reason) {
        return new SubmitResult(Verdict.MAY_HAVE_RUN, reason, 0);
    }
}
