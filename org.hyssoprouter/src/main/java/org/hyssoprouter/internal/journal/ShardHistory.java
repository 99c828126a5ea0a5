package org.hyssoprouter.internal.journal;

import java.util.List;

/**
 * Durable events of a shard, read from its snapshot and its journal rows.
 *
 * @param events events in journal order
 * @param lastSequence sequence of the newest journal row, or of the snapshot if no row is newer
 * @param rowKeys keys of all journal rows of the shard; a snapshot of these events replaces them
 * @since 0.1
 */
public record ShardHistory(List<ShardEvent> events, long lastSequence, List<String> rowKeys) {}
