package org.hyssoprouter.errors;

import org.hyssoprouter.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Final negative answer to a caller or operator.
 *
 * @param code reason, stable for programs
 * @param verdict whether the work may have run
 * @param message text for people: what was wrong and what was expected
 * @param field field of the input at fault, or null
 * @param retryAfterMillis time to come back in milliseconds; 0 when coming back does not help
 * @since 0.1
 */
public record Refusal(
        RefusalCode code,
        Verdict verdict,
        String message,
        @Nullable String field,
        long retryAfterMillis) {
    /** Returns a refusal of work that was not run, with no use in coming back. */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(code, Verdict.NOT_RUN, message, null, 0);
    }

    /** Returns a refusal of work that was not run and may be sent again after a time. */
    public static Refusal retryLater(RefusalCode code, String message, long retryAfterMillis) {
        return new Refusal(code, Verdict.NOT_RUN, message, null, Math.max(1, retryAfterMillis));
    }

    /** Returns a refusal of bad input, naming the field. */
    public static Refusal invalidField(String field, String expectation) {
        return new Refusal(
                RefusalCode.BAD_INPUT, Verdict.NOT_RUN, field + ": " + expectation, field, 0);
    }

    /** Returns the answer to work that was sent and whose outcome is unknown. */
    public static Refusal mayHaveRun(RefusalCode code, String message) {
        return new Refusal(code, Verdict.MAY_HAVE_RUN, message, null, 0);
    }
}
