package org.hyssoprouter.errors;

import org.hyssoprouter.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Final error reply to a caller or operator.
 *
 * @param code reason, which programs may match on
 * @param verdict whether the work may have run
 * @param message human-readable text that names the error and the expected value
 * @param field invalid input field, or null
 * @param retryAfterMillis time after which to retry in milliseconds; 0 if a retry does not help
 * @since 0.1
 */
public record Refusal(
        RefusalCode code,
        Verdict verdict,
        String message,
        @Nullable String field,
        long retryAfterMillis) {
    /** Returns a refusal of work that was not run and for which a retry does not help. */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(code, Verdict.NOT_RUN, message, null, 0);
    }

    /**
     * Returns a refusal of work that was not run and may be retried after a time, at least 1 ms.
     */
    public static Refusal retryLater(RefusalCode code, String message, long retryAfterMillis) {
        return new Refusal(code, Verdict.NOT_RUN, message, null, Math.max(1, retryAfterMillis));
    }

    /** Returns a refusal of invalid input that names the field. */
    public static Refusal invalidField(String field, String expectation) {
        return new Refusal(
                RefusalCode.BAD_INPUT, Verdict.NOT_RUN, field + ": " + expectation, field, 0);
    }

    /** Returns the reply to work that was sent and whose outcome is unknown. */
    public static Refusal mayHaveRun(RefusalCode code, String message) {
        return new Refusal(code, Verdict.MAY_HAVE_RUN, message, null, 0);
    }
}
