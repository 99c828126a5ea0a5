package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.UnaryOperator;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.ObjectStore;

/**
 * Writes snapshots of a shard's durable history.
 *
 * <p>A snapshot is created from the rows in the table, not from the running shard: the history is
 * read and folded by an instance of the shard that is never started. So the snapshot covers exactly
 * the rows up to its sequence, regardless of events that the running shard has not yet journaled or
 * applies only once they are durable.
 *
 * @since 0.1
 */
public final class SnapshotStore {
    private final Recovery mRecovery;
    private final ObjectStore mObjects;

    /** Creates a store that writes to that object store. */
    public SnapshotStore(Recovery recovery, ObjectStore objects) {
        mRecovery = recovery;
        mObjects = objects;
    }

    /**
     * Snapshot in the object store; recovery uses it once the shard's row refers to it.
     *
     * @param key key of the snapshot object
     * @param sequence last journal sequence that it covers
     * @param rowKeys keys of the journal rows that it replaces
     */
    public record Snapshot(String key, long sequence, List<String> rowKeys) {}

    /**
     * Stores a snapshot of all events that are durable now. Blocks.
     *
     * @param currentKey key of the snapshot that the shard's row refers to, or empty
     * @param currentSequence last journal sequence that this snapshot covers
     * @param fold reduces a history to a shorter one that restores the same state
     */
    public Either<TableError, Snapshot> store(
            String shard,
            long epoch,
            String currentKey,
            long currentSequence,
            UnaryOperator<List<ShardEvent>> fold) {
        Either<TableError, ShardHistory> history =
                mRecovery.read(shard, currentKey, currentSequence);
        if (history.isLeft()) {
            return Either.left(history.getLeft());
        }
        long sequence = history.get().lastSequence();
        String key = JournalKeys.snapshot(shard, epoch, sequence);
        byte[] content = EventList.encode(fold.apply(history.get().events()));
        List<String> rowKeys = history.get().rowKeys();
        return mObjects.put(key, content).map(done -> new Snapshot(key, sequence, rowKeys));
    }
}
