package org.hyssoprouter.util;

/**
 * Clock that never goes back; its zero has no meaning.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the time in milliseconds since an arbitrary instant. */
    long millis();

    /** Returns the clock of the system. */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
