package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;

/**
 * In-memory table with the limits of the platform's store on rows and transactions. Answers at
 * once.
 */
final class LimitedTable implements PartitionTable {
    static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_000_000;

    /** Size of the names and the punctuation of an entry in a call, with a margin. */
    private static final int ENTRY_BYTES = 200;

    private final Map<Key, Entry> mRows = new TreeMap<>(LimitedTable::compareKeys);
    private long mVersion;
    private int mTooLargeCount;
    private int mCommitCount;
    private int mLostAnswers;
    private int mAnsweredCount = Integer.MAX_VALUE;
    private Runnable mAfterCommit = () -> {};
    private Runnable mAfterRead = () -> {};
    private BiFunction<Write, Integer, @Nullable TableError> mFault = (write, commit) -> null;

    private static int compareKeys(Key a, Key b) {
        return (a.table() + '\0' + a.partition() + '\0' + a.name())
                .compareTo(b.table() + '\0' + b.partition() + '\0' + b.name());
    }

    /** Runs after each transaction that takes effect, before its answer. */
    void afterCommit(Runnable check) {
        mAfterCommit = check;
    }

    /** Runs after each read, before its answer. */
    void afterRead(Runnable change) {
        mAfterRead = change;
    }

    /** Refuses the transactions with a write for which the function returns an error. */
    void refuse(BiFunction<Write, Integer, @Nullable TableError> fault) {
        mFault = fault;
    }

    /** Answers so many more transactions; later ones have neither an effect nor an answer. */
    void answerOnly(int count) {
        mAnsweredCount = mCommitCount + count;
    }

    /** Loses the answers of the next transactions, which take effect. */
    void loseAnswers(int count) {
        mLostAnswers = count;
    }

    /** Answers all transactions again. */
    void answerAll() {
        mAnsweredCount = Integer.MAX_VALUE;
    }

    /** Returns the number of transactions that were refused for their size. */
    int tooLargeCount() {
        return mTooLargeCount;
    }

    /** Returns the number of transactions, including those that were refused. */
    int commitCount() {
        return mCommitCount;
    }

    /** Returns the rows of a table. */
    List<Entry> rows(String table) {
        return mRows.values().stream().filter(it -> it.key().table().equals(table)).toList();
    }

    /** Writes a row as another process does. */
    void put(String table, String partition, String name, byte[] value) {
        Key key = new Key(table, partition, name);
        mRows.put(key, new Entry(key, ++mVersion, value));
    }

    /** Writes the owner's row and returns its version. */
    long putOwner(OwnerRow row) {
        put(Schema.STATES, Schema.POOLS_PARTITION, Schema.OWNER_KEY, MessageCodec.encode(row));
        return mVersion;
    }

    @Override
    public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
        mCommitCount++;
        if (mCommitCount > mAnsweredCount) {
            return new CompletableFuture<>();
        }
        Either<CommitFailure, CommitResult> result = apply(batch);
        if (mLostAnswers > 0) {
            mLostAnswers--;
            return CompletableFuture.completedFuture(CommitFailure.unknownOutcome("lost"));
        }
        return CompletableFuture.completedFuture(result);
    }

    private Either<CommitFailure, CommitResult> apply(Batch batch) {
        int bytes = ENTRY_BYTES * (batch.checks().size() + batch.writes().size());
        boolean tooLarge = batch.checks().size() + batch.writes().size() > MAX_ENTRIES;
        for (Write write : batch.writes()) {
            byte[] value = write.value();
            if (value != null) {
                tooLarge |= value.length > MAX_ROW_BYTES;
                bytes += value.length * 4 / 3;
            }
        }
        if (tooLarge || bytes > MAX_CALL_BYTES) {
            mTooLargeCount++;
            return failure(TableError.rejected("too large"), List.of());
        }
        for (Write write : batch.writes()) {
            TableError error = mFault.apply(write, mCommitCount);
            if (error != null) {
                return failure(error, List.of());
            }
        }
        List<Entry> current = new ArrayList<>();
        boolean holds = true;
        for (Check check : batch.checks()) {
            Entry row = mRows.get(new Key(check.table(), batch.partition(), check.name()));
            holds &= check.version() == (row == null ? ABSENT : row.version());
            if (row != null) {
                current.add(row);
            }
        }
        if (!holds) {
            return failure(TableError.conflict("a checked row"), current);
        }
        mVersion++;
        for (Write write : batch.writes()) {
            Key key = new Key(write.table(), batch.partition(), write.name());
            if (write.value() == null) {
                mRows.remove(key);
            } else {
                mRows.put(key, new Entry(key, mVersion, write.value()));
            }
        }
        mAfterCommit.run();
        return Either.right(new CommitResult(mVersion, 0));
    }

    private static Either<CommitFailure, CommitResult> failure(
            TableError error, List<Entry> current) {
        return Either.left(new CommitFailure(error, current));
    }

    @Override
    public CompletableFuture<Either<TableError, Page>> read(Range range) {
        List<Entry> entries =
                rows(range.table()).stream()
                        .filter(it -> it.key().partition().equals(range.partition()))
                        .filter(it -> it.key().name().compareTo(range.from()) >= 0)
                        .filter(
                                it ->
                                        range.to().isEmpty()
                                                || it.key().name().compareTo(range.to()) < 0)
                        .limit(range.limit())
                        .toList();
        mAfterRead.run();
        return CompletableFuture.completedFuture(
                Either.right(new Page(entries, false, mVersion, 1)));
    }

    @Override
    public CompletableFuture<Either<TableError, Page>> pollChanges(
            String table, long after, long waitMillis) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Either<TableError, List<String>>> listPartitions(String table) {
        return new CompletableFuture<>();
    }
}
