package org.hyssoprouter.standin.platform;

/**
 * What the platform did since its start.
 *
 * @param reads reads and scans of the table
 * @param rowsRead rows that they returned
 * @param commits transactions that took effect
 * @param conflicts transactions that failed a check
 * @param rowsWritten rows that transactions wrote or deleted
 * @param objectReads reads of the object store
 * @param objectWrites writes and deletions of the object store
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
