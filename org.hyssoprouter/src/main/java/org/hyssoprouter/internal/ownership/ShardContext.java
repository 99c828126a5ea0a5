package org.hyssoprouter.internal.ownership;

import org.hyssoprouter.internal.journal.EventLog;

/**
 * Identifies an owned shard to its components and gives them its journal and ownership check.
 *
 * @param shard name of the shard
 * @param region region of the shard
 * @param epoch epoch under which this daemon owns it
 * @param log durable journal of the shard
 * @param ownership check whether this daemon is still confirmed as the owner
 * @since 0.1
 */
public record ShardContext(
        String shard, String region, long epoch, EventLog log, OwnershipCheck ownership) {}
