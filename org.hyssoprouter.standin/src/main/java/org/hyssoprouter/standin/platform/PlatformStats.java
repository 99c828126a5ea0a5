package org.hyssoprouter.standin.platform;

/**
 * Operations that the platform executed since its start.
 *
 * @param reads number of reads and scans of the table
 * @param rowsRead number of rows that they returned
 * @param commits number of transactions that took effect
 * @param conflicts number of transactions that failed a check
 * @param rowsWritten number of rows that transactions wrote or deleted
 * @param objectReads number of reads of the object store
 * @param objectWrites number of writes and deletions in the object store
 * @since 0.1
 */
public record PlatformStats(
        long reads,
        long rowsRead,
        long commits,
        long conflicts,
        long rowsWritten,
        long objectReads,
        long objectWrites) {}
