package org.hyssoprouter.internal.workspace;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.QueuePolicy;

/**
 * Decides from its API key whether a call may use a queue. Answers two loads: callers that use a
 * key as soon as the operator has added it, at hosts that have not read the version yet, and
 * callers that repeat calls with wrong keys, which must not cost a read each.
 *
 * @since 0.3
 */
public final class CallerCheck {
    /**
     * Age of the last confirmation of the configuration up to which an unknown key is certain to be
     * wrong: half of the 4 s within which a version is in force on all hosts in touch.
     */
    public static final long MAX_CONFIRMATION_AGE_MILLIS = 2_000;

    private CallerCheck() {}

    /** Outcome of a check. */
    public enum Outcome {
        /** The call may use the queue. */
        ALLOWED,
        /** The queue needs a key, and the call has none. */
        MISSING,
        /** The key belongs to no workspace. */
        UNKNOWN,
        /** The key is unknown, but may be newer than the configuration of this host. */
        UNCONFIRMED
    }

    /**
     * Result of a check.
     *
     * @param workspace workspace of the call's key, or empty if it has no known key
     */
    public record Result(Outcome outcome, String workspace) {}

    /**
     * Checks the key of a call.
     *
     * @param key key as the caller sent it, or empty
     * @param confirmedAgeMillis time since the store last confirmed that this host's configuration
     *     is the newest, in milliseconds
     */
    public static Result check(
            KeyIndex keys, QueuePolicy queue, String key, long confirmedAgeMillis) {
        Option<String> workspace = key.isEmpty() ? Option.none() : keys.workspaceOf(key);
        if (workspace.isDefined() || !queue.keyRequired()) {
            return new Result(Outcome.ALLOWED, workspace.getOrElse(""));
        }
        if (key.isEmpty()) {
            return new Result(Outcome.MISSING, "");
        }
        boolean confirmed = confirmedAgeMillis <= MAX_CONFIRMATION_AGE_MILLIS;
        return new Result(confirmed ? Outcome.UNKNOWN : Outcome.UNCONFIRMED, "");
    }
}
