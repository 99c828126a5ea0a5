package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.UUID;

/** Time that an idempotency key states of itself. */
final class KeyTimestamp {
    private static final int UUID_LENGTH = 36;
    private static final int TIMED_VERSION = 7;
    private static final int TIME_SHIFT = 16;

    private KeyTimestamp() {}

    /** Returns the wall clock in milliseconds that a UUID of version 7 holds, else none. */
    static Option<Long> of(String key) {
        if (key.length() != UUID_LENGTH) {
            return Option.none();
        }
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == TIMED_VERSION
                    ? Option.some(uuid.getMostSignificantBits() >>> TIME_SHIFT)
                    : Option.none();
        } catch (IllegalArgumentException e) {
            return Option.none();
        }
    }
}
