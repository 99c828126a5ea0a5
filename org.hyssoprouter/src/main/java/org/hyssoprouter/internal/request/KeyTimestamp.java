package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.UUID;

/** Extracts the creation time from idempotency keys that contain one. */
final class KeyTimestamp {
    private static final int UUID_LENGTH = 36;
    private static final int TIMESTAMP_VERSION = 7;
    private static final int TIMESTAMP_SHIFT_BITS = 16;

    private KeyTimestamp() {}

    /**
     * Returns the timestamp of a key that is a UUID of version 7, in milliseconds of wall-clock
     * time, or none for any other key.
     */
    static Option<Long> of(String key) {
        if (key.length() != UUID_LENGTH) {
            return Option.none();
        }
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == TIMESTAMP_VERSION
                    ? Option.some(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS)
                    : Option.none();
        } catch (IllegalArgumentException e) {
            return Option.none();
        }
    }
}
