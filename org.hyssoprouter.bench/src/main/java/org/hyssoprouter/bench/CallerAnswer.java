package org.hyssoprouter.bench;

import java.nio.charset.StandardCharsets;
import org.hyssoprouter.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * What a caller saw of its request.
 *
 * @param request the request
 * @param entry name of the daemon that it was sent to
 * @param status HTTP status, or 0 when no complete answer came
 * @param verdict verdict of the answer, or null when there is none
 * @param body content; text of the failure when no complete answer came
 * @param sentWallMillis wall clock of the sending
 * @param elapsedMillis time until the answer or the failure
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
    /** Returns whether a complete answer came, be it a refusal. */
    public boolean isAnswered() {
        return status != 0;
    }

    /** Returns whether the answer says that the request ran and is complete. */
    public boolean ran() {
        return verdict == Verdict.RAN;
    }

    /** Returns the body as text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns one line for people. */
    @Override
    public String toString() {
        String shown = ran() ? "" : " " + text();
        return request.key() + " by " + entry + ": " + status + " " + verdict + shown;
    }

    /**
     * Returns whether sending the request again would not help its caller: it ran, or it must run
     * at most once and was in flight when its owner died.
     */
    public boolean isSettled() {
        return ran() || (!request.idempotent() && verdict == Verdict.MAY_HAVE_RUN);
    }
}
