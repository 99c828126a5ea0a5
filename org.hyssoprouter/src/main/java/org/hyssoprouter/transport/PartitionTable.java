package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;
import org.jspecify.annotations.Nullable;

/**
 * Port to a transactional table store whose rows lie in named tables and partitions. A transaction
 * stays inside one partition.
 *
 * @since 0.2
 */
public interface PartitionTable {
    /** Version of a row that must not exist. */
    long ABSENT = 0;

    /** Applies a transaction; its effect is unknown for {@link TableError.Kind#UNKNOWN}. */
    CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch);

    /** Reads rows of a partition in the order of their keys. */
    CompletableFuture<Either<TableError, Page>> read(Range range);

    /**
     * Waits for changes of a table.
     *
     * @param after version up to which changes are known
     * @param waitMillis time to wait for a change, in milliseconds
     */
    CompletableFuture<Either<TableError, Page>> pollChanges(
            String table, long after, long waitMillis);

    /** Lists the partitions of a table. */
    CompletableFuture<Either<TableError, List<String>>> listPartitions(String table);

    /**
     * A row.
     *
     * @param key where it lies
     * @param version version, above 0
     * @param value content; null for a row that was deleted
     */
    record Entry(Key key, long version, byte @Nullable [] value) {}

    /** Where a row lies. */
    record Key(String table, String partition, String name) {}

    /**
     * Rows of one reading.
     *
     * @param entries rows
     * @param hasMore whether the range holds further rows
     * @param version newest version of the store at the reading
     * @param storeMillis steady clock of the store, in milliseconds
     */
    record Page(List<Entry> entries, boolean hasMore, long version, long storeMillis) {}

    /**
     * Rows to read.
     *
     * @param from first key, or empty
     * @param to first key after the range, or empty
     * @param limit most rows
     */
    record Range(String table, String partition, String from, String to, int limit) {}

    /**
     * Result of a transaction.
     *
     * @param version version that the written rows have now
     * @param storeMillis steady clock of the store, in milliseconds
     */
    record CommitResult(long version, long storeMillis) {}

    /**
     * Failure of a transaction.
     *
     * @param error what is known of its effect
     * @param currentRows for a conflict, the rows that were checked as they are now
     */
    record CommitFailure(TableError error, List<Entry> currentRows) {}

    /** Checks and writes of one transaction. */
    final class Batch {
        private final String mPartition;
        private final List<Check> mChecks = new ArrayList<>();
        private final List<Write> mWrites = new ArrayList<>();

        /** Creates an empty transaction on a partition. */
        public Batch(String partition) {
            mPartition = partition;
        }

        /** Requires a row to have a version. */
        public Batch check(String table, String name, long version) {
            mChecks.add(new Check(table, name, version));
            return this;
        }

        /** Writes a row. */
        public Batch put(String table, String name, byte[] value) {
            mWrites.add(new Write(table, name, value));
            return this;
        }

        /** Deletes a row. */
        public Batch delete(String table, String name) {
            mWrites.add(new Write(table, name, null));
            return this;
        }

        /** Returns the partition. */
        public String partition() {
            return mPartition;
        }

        /** Returns the checks. */
        public List<Check> checks() {
            return mChecks;
        }

        /** Returns the writes. */
        public List<Write> writes() {
            return mWrites;
        }
    }

    /** Requires a row to have a version; {@link #ABSENT} for a row that must not exist. */
    record Check(String table, String name, long version) {}

    /** Writes a row, or deletes it if the value is null. */
    record Write(String table, String name, byte @Nullable [] value) {}
}
