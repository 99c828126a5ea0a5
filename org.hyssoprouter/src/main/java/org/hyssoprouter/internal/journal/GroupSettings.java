package org.hyssoprouter.internal.journal;

/**
 * Pace of the group writer.
 *
 * @param groupMillis time for which the first part of a group waits for others
 * @param heartbeatMillis longest time between two groups
 * @param retryMillis time between two tries while the table service fails
 * @param writesPerSecond rows that may be written a second, on average
 * @since 0.1
 */
public record GroupSettings(
        long groupMillis, long heartbeatMillis, long retryMillis, int writesPerSecond) {
    /** Returns the defaults. */
    public static GroupSettings defaults() {
        return new GroupSettings(20, 1000, 100, 50);
    }
}
