package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;
import org.jspecify.annotations.Nullable;

/**
 * Port to a transactional table store whose rows are grouped by table and partition. A transaction
 * is limited to one partition.
 *
 * @since 0.2
 */
public interface PartitionTable {
    /** Version to check for a row that must not exist. */
    long ABSENT = 0;

    /** Commits a transaction; after {@link TableError.Kind#UNKNOWN} it may have taken effect. */
    CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch);

    /** Reads rows of a partition in key order. */
    CompletableFuture<Either<TableError, Page>> read(Range range);

    /**
     * Reads the changes of a table, waiting for one if there are none (long poll).
     *
     * @param after version after which changes are returned
     * @param waitMillis maximum time to wait for a change, in milliseconds
     */
    CompletableFuture<Either<TableError, Page>> pollChanges(
            String table, long after, long waitMillis);

    /** Lists the partitions of a table. */
    CompletableFuture<Either<TableError, List<String>>> listPartitions(String table);

    /**
     * Row with its version.
     *
     * @param key key of the row
     * @param version version, greater than 0
     * @param value content; null if the row was deleted
     */
    record Entry(Key key, long version, byte @Nullable [] value) {}

    /** Key of a row: table, partition and name within the partition. */
    record Key(String table, String partition, String name) {}

    /**
     * Result of one read.
     *
     * @param entries rows
     * @param hasMore whether the range contains further rows
     * @param version newest version of the store at the time of the read
     * @param storeMillis monotonic clock of the store, in milliseconds
     */
    record Page(List<Entry> entries, boolean hasMore, long version, long storeMillis) {}

    /**
     * Key range to read.
     *
     * @param from first key, or empty
     * @param to first key after the range, or empty
     * @param limit maximum number of rows
     */
    record Range(String table, String partition, String from, String to, int limit) {}

    /**
     * Result of a committed transaction.
     *
     * @param version new version of the written rows
     * @param storeMillis monotonic clock of the store, in milliseconds
     */
    record CommitResult(long version, long storeMillis) {}

    /**
     * Failure of a transaction.
     *
     * @param error reason of the failure, which determines whether the transaction took effect
     * @param currentRows for a conflict, the current versions of the checked rows; else empty
     */
    record CommitFailure(TableError error, List<Entry> currentRows) {
        /** Returns the result of a transaction that may have taken effect. */
        public static Either<CommitFailure, CommitResult> unknownOutcome(String reason) {
            return Either.left(new CommitFailure(TableError.unknown(reason), List.of()));
        }
    }

    /** Checks and writes of one transaction. */
    final class Batch {
        private final String mPartition;
        private final List<Check> mChecks = new ArrayList<>();
        private final List<Write> mWrites = new ArrayList<>();

        /** Creates an empty transaction on a partition. */
        public Batch(String partition) {
            mPartition = partition;
        }

        /** Adds a check that a row has a version. */
        public Batch check(String table, String name, long version) {
            mChecks.add(new Check(table, name, version));
            return this;
        }

        /** Adds the write of a row. */
        public Batch put(String table, String name, byte[] value) {
            mWrites.add(new Write(table, name, value));
            return this;
        }

        /** Adds the deletion of a row. */
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

    /** Condition that a row has a version; {@link #ABSENT} for a row that must not exist. */
    record Check(String table, String name, long version) {}

    /** Write of a row, or its deletion if the value is null. */
    record Write(String table, String name, byte @Nullable [] value) {}
}
