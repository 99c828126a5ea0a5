package org.hyssoprouter.util;

/**
 * Clock that never goes backwards; its origin is arbitrary.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the time in milliseconds since an arbitrary origin. */
    long millis();

    /** Returns a clock based on {@link System#nanoTime()}. */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000L;
    }
}
