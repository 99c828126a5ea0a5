package org.hyssoprouter.internal.ownership;

/**
 * Row of the table that names the owner of a shard.
 *
 * @param shard shard
 * @param region region of the shard
 * @param owner name of the owning daemon
 * @param incarnation incarnation of that daemon
 * @param peerAddress {@code ip:port} of its peer listener
 * @param epoch raised by one with each change of the owner
 * @param snapshot key of the newest snapshot object, or empty
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
