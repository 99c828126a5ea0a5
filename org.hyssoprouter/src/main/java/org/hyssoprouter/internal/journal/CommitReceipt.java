package org.hyssoprouter.internal.journal;

/**
 * Result of a committed group.
 *
 * @param version version of every row that the group wrote
 * @param startedMillis monotonic time at which the group was first sent, which is before it was
 *     committed
 * @since 0.1
 */
public record CommitReceipt(long version, long startedMillis) {}
