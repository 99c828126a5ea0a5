package org.hyssoprouter.bench;

import java.nio.charset.StandardCharsets;
import org.hyssoprouter.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Outcome of one attempt to send a request.
 *
 * @param request the request
 * @param entry name of the daemon that received it
 * @param status HTTP status, or 0 if no complete answer arrived
 * @param verdict verdict of the answer, or null if it has none
 * @param body answer body, or the failure text if no complete answer arrived
 * @param sentWallMillis wall-clock time of the attempt, in milliseconds
 * @param elapsedMillis time until the answer or the failure, in milliseconds
 * @since 0.1
 */
public record CallerAnswer(
        CallerRequest request,
        String entry,
        int status,
        @Nullable Verdict verdict,
        byte[] body,
        long sentWallMillis,
        long elapsedMillis) {
    /** Returns whether a complete answer arrived, including a refusal. */
    public boolean isAnswered() {
        return status != 0;
    }

    /** Returns whether the answer has verdict RAN. */
    public boolean ran() {
        return verdict == Verdict.RAN;
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns a one-line description. */
    @Override
    public String toString() {
        String suffix = ran() ? "" : " " + text();
        return request.key() + " by " + entry + ": " + status + " " + verdict + suffix;
    }

    /**
     * Returns whether the outcome is final: the request ran, or it must run at most once and was in
     * flight when its owner died, so that a retry would not help.
     */
    public boolean isSettled() {
        return ran() || (!request.idempotent() && verdict == Verdict.MAY_HAVE_RUN);
    }
}
