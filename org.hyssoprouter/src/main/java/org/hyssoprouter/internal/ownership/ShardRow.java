package org.hyssoprouter.internal.ownership;

/**
 * Table row that records the owner of a shard.
 *
 * @param shard name of the shard
 * @param region region of the shard
 * @param owner name of the owning daemon, or empty if the shard never had an owner
 * @param incarnation incarnation of that daemon
 * @param peerAddress {@code ip:port} of the peer listener of that daemon
 * @param epoch incremented by one at each change of the owner
 * @param snapshot key of the newest snapshot object, or empty if there is none
 * @param snapshotSequence last journal sequence that the snapshot covers
 * @since 0.1
 */
public record ShardRow(
        String shard,
        String region,
        String owner,
        String incarnation,
        String peerAddress,
        long epoch,
        String snapshot,
        long snapshotSequence) {}
