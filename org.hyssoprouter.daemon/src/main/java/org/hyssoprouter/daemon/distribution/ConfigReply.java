package org.hyssoprouter.daemon.distribution;

/**
 * Answer to a {@link ConfigRequest}.
 *
 * @param version version that the answering host holds, 0 for none
 * @param position version of the table store up to which that host has read changes; negative if
 *     unknown
 * @param ageMillis time since that host knew its version to be the newest, in milliseconds
 * @param heldMillis time for which the answer was held back, in milliseconds
 * @param totalBytes size of the compressed {@link ConfigChanges}; 0 unless the host's version is
 *     newer than the caller's
 * @param offset position of the part in them, in bytes
 * @param changes part of the compressed changes
 */
record ConfigReply(
        long version,
        long position,
        long ageMillis,
        long heldMillis,
        int totalBytes,
        int offset,
        byte[] changes) {}
