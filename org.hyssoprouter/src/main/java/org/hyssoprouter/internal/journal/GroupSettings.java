package org.hyssoprouter.internal.journal;

/**
 * Timing and write rate of the group writer.
 *
 * @param groupMillis time in milliseconds for which a group collects parts after the first one
 * @param heartbeatMillis longest time in milliseconds between two groups
 * @param retryMillis time in milliseconds between two attempts while the table service fails
 * @param writesPerSecond average limit of rows written per second
 * @since 0.1
 */
public record GroupSettings(
        long groupMillis, long heartbeatMillis, long retryMillis, int writesPerSecond) {
    /** Returns the default settings. */
    public static GroupSettings defaults() {
        return new GroupSettings(20, 1000, 100, 50);
    }
}
