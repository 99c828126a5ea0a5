package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.SnapshotStore;
import org.hyssoprouter.internal.journal.TransactionQueue;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;

/**
 * Writes a snapshot of a shard after a number of new journal rows, and deletes the rows that the
 * snapshot covers.
 */
final class SnapshotWriter {
    private static final int ROWS_PER_DELETE = 10;

    private final SnapshotStore mSnapshotStore;
    private final ObjectStore mObjectStore;
    private final TransactionQueue mTransactions;
    private final OwnedShard.Factory mFactory;
    private final int mSnapshotRows;
    private final Executor mWorkThread;

    SnapshotWriter(
            SnapshotStore snapshotStore,
            ObjectStore objectStore,
            TransactionQueue transactions,
            OwnedShard.Factory factory,
            int snapshotRows,
            Executor workThread) {
        mSnapshotStore = snapshotStore;
        mObjectStore = objectStore;
        mTransactions = transactions;
        mFactory = factory;
        mSnapshotRows = snapshotRows;
        mWorkThread = workThread;
    }

    /** Writes a snapshot of a shard if it is due; blocks on table reads and the object store. */
    void writeIfDue(ShardHolding holding) {
        ShardRow row = holding.row();
        long rows = holding.journal().lastSequence() - row.snapshotSequence();
        if (holding.isReleased() || holding.shard() == null || rows < mSnapshotRows) {
            return;
        }
        Either<TableError, SnapshotStore.Snapshot> stored =
                mSnapshotStore.store(
                        row.shard(),
                        row.epoch(),
                        row.snapshot(),
                        row.snapshotSequence(),
                        events -> fold(holding.context(), events));
        stored.peek(snapshot -> activate(holding, snapshot));
    }

    private List<ShardEvent> fold(ShardContext context, List<ShardEvent> events) {
        return mFactory.open(context, events).snapshotEvents();
    }

    private void activate(ShardHolding holding, SnapshotStore.Snapshot snapshot) {
        ShardRow old = holding.row();
        ShardRow row =
                new ShardRow(
                        old.shard(),
                        old.region(),
                        old.owner(),
                        old.incarnation(),
                        old.peerAddress(),
                        old.epoch(),
                        snapshot.key(),
                        snapshot.sequence());
        String key = CellKeys.shard(row.shard());
        CompletableFuture<Void> unused =
                mTransactions
                        .submit(
                                () ->
                                        Transaction.create()
                                                .check(key, holding.journal().rowVersion())
                                                .put(key, MessageCodec.encode(row)),
                                0,
                                committed -> holding.updateRow(row, committed.version()))
                        .thenAcceptAsync(
                                result ->
                                        result.peek(c -> deleteReplaced(old.snapshot(), snapshot)),
                                mWorkThread);
    }

    private void deleteReplaced(String oldKey, SnapshotStore.Snapshot snapshot) {
        if (!oldKey.isEmpty()) {
            // If this fails, the old snapshot only takes up space.
            mObjectStore.delete(oldKey);
        }
        deleteRows(snapshot.rowKeys());
    }

    // Deletes a few rows at a time, to leave the write budget to the journal.
    private void deleteRows(List<String> rowKeys) {
        if (rowKeys.isEmpty()) {
            return;
        }
        int count = Math.min(ROWS_PER_DELETE, rowKeys.size());
        Transaction deletes = Transaction.create();
        rowKeys.subList(0, count).forEach(deletes::delete);
        List<String> remaining = rowKeys.subList(count, rowKeys.size());
        CompletableFuture<Void> unused =
                mTransactions
                        .commit(deletes, 0)
                        .thenAcceptAsync(done -> deleteRows(remaining), mWorkThread);
    }
}
