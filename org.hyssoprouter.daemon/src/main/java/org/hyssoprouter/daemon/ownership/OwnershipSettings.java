package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.journal.GroupSettings;

/**
 * Timing and size limits of shard ownership.
 *
 * @param pollMillis time in milliseconds between two reads of the cell's rows
 * @param deadAfterMillis time in milliseconds of successful reads without a heartbeat after which a
 *     daemon is dead
 * @param confirmMillis time in milliseconds for which a confirmation of ownership is valid; less
 *     than deadAfterMillis
 * @param staleMillis age in milliseconds of the last read from which a daemon reports that it
 *     cannot read the table
 * @param snapshotRows number of journal rows after which a snapshot is written
 * @param groups settings of the group writer
 * @since 0.1
 */
public record OwnershipSettings(
        long pollMillis,
        long deadAfterMillis,
        long confirmMillis,
        long staleMillis,
        int snapshotRows,
        GroupSettings groups) {
    /** Returns the default settings. */
    public static OwnershipSettings defaults() {
        return new OwnershipSettings(1000, 4000, 2000, 1500, 200, GroupSettings.defaults());
    }
}
