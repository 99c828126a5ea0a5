package org.hyssoprouter.errors;

import org.jspecify.annotations.Nullable;

/**
 * Failure of an operation on the table service or object store.
 *
 * @param kind kind of the failure, which determines whether the operation took effect
 * @param key key whose version check failed, for a conflict; else null
 * @param message details for logs
 * @since 0.1
 */
public record TableError(Kind kind, @Nullable String key, String message) {
    /** Kind of a failure, by its effect on the stored data. */
    public enum Kind {
        /** A version check failed; nothing was written. */
        CONFLICT,
        /** The service refused the operation or was unreachable; nothing was written. */
        UNAVAILABLE,
        /**
         * The service never accepts the operation, for instance for the size of a row; nothing was
         * written.
         */
        REJECTED,
        /** The service is overloaded; nothing was written. */
        BUSY,
        /** The reply was lost; the write may have taken effect or may still do so. */
        UNKNOWN
    }

    /** Returns whether nothing was written for a reason other than a failed check. */
    public boolean isWithoutEffect() {
        return kind == Kind.UNAVAILABLE || kind == Kind.REJECTED || kind == Kind.BUSY;
    }

    /** Returns a conflict on {@code key}. */
    public static TableError conflict(String key) {
        return new TableError(Kind.CONFLICT, key, "version of " + key + " has changed");
    }

    /** Returns a failure without effect. */
    public static TableError unavailable(String message) {
        return new TableError(Kind.UNAVAILABLE, null, message);
    }

    /** Returns a failure without effect that repetitions of the operation would share. */
    public static TableError rejected(String message) {
        return new TableError(Kind.REJECTED, null, message);
    }

    /** Returns a failure of an overloaded service, without effect. */
    public static TableError busy(String message) {
        return new TableError(Kind.BUSY, null, message);
    }

    /** Returns a failure with an unknown effect. */
    public static TableError unknown(String message) {
        return new TableError(Kind.UNKNOWN, null, message);
    }
}
