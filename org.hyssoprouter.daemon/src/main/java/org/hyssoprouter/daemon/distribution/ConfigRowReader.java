package org.hyssoprouter.daemon.distribution;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.jspecify.annotations.Nullable;

/** Reads the row of the configuration from the table store. */
final class ConfigRowReader {
    /** Appended to a key to get the smallest key after it. */
    private static final char NEXT_KEY_SUFFIX = '\0';

    private final PartitionTable mTable;
    private final String mTableName;
    private final String mKey;

    /**
     * Result of a read.
     *
     * @param position version of the store up to which all changes are included
     * @param row value of the row; null if it is absent or has not changed
     */
    record Reading(long position, byte @Nullable [] row) {}

    ConfigRowReader(PartitionTable table, String tableName, String key) {
        mTable = table;
        mTableName = tableName;
        mKey = key;
    }

    /** Reads the row. */
    CompletableFuture<Either<TableError, Reading>> read() {
        return mTable.read(
                        new PartitionTable.Range(mTableName, "", mKey, mKey + NEXT_KEY_SUFFIX, 1))
                .thenApply(page -> page.map(this::toReading));
    }

    /** Waits for a change of the row since a position; a conflict if that is too long ago. */
    CompletableFuture<Either<TableError, Reading>> poll(long position, long waitMillis) {
        return mTable.pollChanges(mTableName, position, waitMillis)
                .thenApply(page -> page.map(this::toReading));
    }

    private Reading toReading(PartitionTable.Page page) {
        byte[] row = null;
        for (PartitionTable.Entry entry : page.entries()) {
            if (entry.key().name().equals(mKey) && entry.value() != null) {
                row = entry.value();
            }
        }
        return new Reading(page.version(), row);
    }
}
