package org.hyssoprouter.internal.ownership;

import org.hyssoprouter.internal.journal.EventLog;

/**
 * What the parts of an owned shard need to know of their ownership.
 *
 * @param shard shard
 * @param region region of the shard
 * @param epoch epoch under which this daemon owns it
 * @param log durable journal of the shard
 * @param ownership whether the owner may act now
 * @since 0.1
 */
public record ShardContext(
        String shard, String region, long epoch, EventLog log, OwnershipCheck ownership) {}
