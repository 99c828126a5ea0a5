package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;

/**
 * Reads the history of a shard: its snapshot and the later journal rows of all epochs.
 *
 * @since 0.1
 */
public final class Recovery {
    private final TableService mTable;
    private final ObjectStore mObjects;

    /** Creates a reader of that table and object store. */
    public Recovery(TableService table, ObjectStore objects) {
        mTable = table;
        mObjects = objects;
    }

    /**
     * Reads the history of a shard whose former owners can no longer write. Blocks.
     *
     * @param snapshot key of the snapshot object, or empty
     * @param snapshotSequence last journal sequence that the snapshot covers
     */
    public Either<TableError, ShardHistory> read(
            String shard, String snapshot, long snapshotSequence) {
        Either<TableError, List<ShardEvent>> snapshotEvents = readSnapshot(snapshot);
        if (snapshotEvents.isLeft()) {
            return Either.left(snapshotEvents.getLeft());
        }
        Either<TableError, List<Row>> rows = mTable.scan(JournalKeys.prefix(shard));
        if (rows.isLeft()) {
            return Either.left(rows.getLeft());
        }
        List<ShardEvent> events = new ArrayList<>(snapshotEvents.get());
        long lastSequence = snapshotSequence;
        List<String> rowKeys = new ArrayList<>();
        for (Row row : rows.get()) {
            rowKeys.add(row.key());
            long sequence = JournalKeys.sequenceOf(row.key());
            if (sequence <= snapshotSequence) {
                continue;
            }
            events.addAll(decode(row.key(), row.value()));
            lastSequence = Math.max(lastSequence, sequence);
        }
        return Either.right(new ShardHistory(events, lastSequence, rowKeys));
    }

    private Either<TableError, List<ShardEvent>> readSnapshot(String snapshot) {
        if (snapshot.isEmpty()) {
            return Either.right(List.of());
        }
        Either<TableError, Option<byte[]>> object = mObjects.get(snapshot);
        if (object.isLeft()) {
            return Either.left(object.getLeft());
        }
        if (object.get().isEmpty()) {
            return Either.left(TableError.unavailable("snapshot " + snapshot + " is missing"));
        }
        return Either.right(decode(snapshot, object.get().get()));
    }

    private static List<ShardEvent> decode(String key, byte[] content) {
        try {
            return EventList.decode(content);
        } catch (IOException e) {
            // Skipping these events would lose accepted work.
            throw new IllegalStateException("cannot decode events of " + key, e);
        }
    }
}
