package org.hyssoprouter.errors;

import org.jspecify.annotations.Nullable;

/**
 * Failure of an operation on the table service or object store.
 *
 * @param kind what is known of the operation's effect
 * @param key key that failed its check, for a conflict
 * @param message text for logs
 * @since 0.1
 */
public record TableError(Kind kind, @Nullable String key, String message) {
    /** What is known of the effect of a failed operation. */
    public enum Kind {
        /** A check failed; nothing was written. */
        CONFLICT,
        /** The service refused or was not reached; nothing was written. */
        UNAVAILABLE,
        /** The service has too much to do just now; nothing was written. */
        BUSY,
        /** The reply was lost; the write may have taken effect, now or later. */
        UNKNOWN
    }

    /** Returns whether it is certain that nothing was written, and no check failed. */
    public boolean isWithoutEffect() {
        return kind == Kind.UNAVAILABLE || kind == Kind.BUSY;
    }

    /** Returns a conflict on {@code key}. */
    public static TableError conflict(String key) {
        return new TableError(Kind.CONFLICT, key, "version of " + key + " has changed");
    }

    /** Returns a failure without effect. */
    public static TableError unavailable(String message) {
        return new TableError(Kind.UNAVAILABLE, null, message);
    }

    /** Returns a failure for want of capacity, without effect. */
    public static TableError busy(String message) {
        return new TableError(Kind.BUSY, null, message);
    }

    /** Returns a failure with an unknown effect. */
    public static TableError unknown(String message) {
        return new TableError(Kind.UNKNOWN, null, message);
    }
}
