package org.hyssoprouter.internal.journal;

import java.util.List;

/**
 * History of a shard as the table and the object store hold it.
 *
 * @param events events in order
 * @param lastSequence sequence of the newest journal row, or that of the snapshot
 * @param rowKeys keys of all its journal rows; a snapshot of these events replaces them
 * @since 0.1
 */
public record ShardHistory(List<ShardEvent> events, long lastSequence, List<String> rowKeys) {}
