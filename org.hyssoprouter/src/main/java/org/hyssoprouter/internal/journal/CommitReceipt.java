package org.hyssoprouter.internal.journal;

/**
 * Proof of a group that took effect.
 *
 * @param version version that every written row now has
 * @param startedMillis monotonic time at which the group was first sent; it took effect later
 * @since 0.1
 */
public record CommitReceipt(long version, long startedMillis) {}
