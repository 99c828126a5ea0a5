package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.UnaryOperator;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.ObjectStore;

/**
 * Writes snapshots of a shard's durable history.
 *
 * <p>A snapshot is made from what the table holds, not from the running shard: the history is read
 * back and folded by an instance of the shard that is never started. So it covers exactly the rows
 * up to its sequence, whatever waits to be journaled or is applied only once it is durable.
 *
 * @since 0.1
 */
public final class SnapshotStore {
    private final Recovery mRecovery;
    private final ObjectStore mObjects;

    /** Creates a store. */
    public SnapshotStore(Recovery recovery, ObjectStore objects) {
        mRecovery = recovery;
        mObjects = objects;
    }

    /**
     * Snapshot that was stored; it is in force once the shard's row names it.
     *
     * @param key key of the object
     * @param sequence last journal sequence that it covers
     * @param rowKeys keys of the journal rows that it replaces
     */
    public record Snapshot(String key, long sequence, List<String> rowKeys) {}

    /**
     * Stores a snapshot of everything that is durable now. Blocks.
     *
     * @param current key of the snapshot in force, or empty
     * @param currentSequence sequence of that one
     * @param fold shortens a history without changing the state that it restores
     */
    public Either<TableError, Snapshot> store(
            String shard,
            long epoch,
            String current,
            long currentSequence,
            UnaryOperator<List<ShardEvent>> fold) {
        Either<TableError, ShardHistory> history = mRecovery.read(shard, current, currentSequence);
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
