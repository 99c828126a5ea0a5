package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.journal.GroupSettings;

/**
 * Times and sizes of ownership.
 *
 * @param pollMillis time between two reads of the cell's rows
 * @param deadAfterMillis time of unbroken reads without a heartbeat after which a daemon is dead
 * @param confirmMillis time for which a confirmation of ownership lasts; less than deadAfterMillis
 * @param staleMillis age of the last read from which a daemon says that it cannot read the table
 * @param snapshotRows journal rows after which a snapshot is written
 * @param groups pace of the group writer
 * @since 0.1
 */
public record OwnershipSettings(
        long pollMillis,
        long deadAfterMillis,
        long confirmMillis,
        long staleMillis,
        int snapshotRows,
        GroupSettings groups) {
    /** Returns the defaults. */
    public static OwnershipSettings defaults() {
        return new OwnershipSettings(1000, 4000, 2000, 1500, 200, GroupSettings.defaults());
    }
}
