package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;

/** Members table in memory, as each of several daemons reaches it. */
final class MembersTable {
    private final TreeMap<String, PartitionTable.Entry> mRows = new TreeMap<>();
    private final List<PartitionTable.Entry> mChanges = new ArrayList<>();
    private final List<Runnable> mPolls = new ArrayList<>();
    private final Set<String> mSilentTo = ConcurrentHashMap.newKeySet();
    private long mVersion;
    private long mHistoryStart;
    private int mTransactions;
    private int mCalls;

    /** Returns the table as a daemon reaches it. */
    PartitionTable as(String daemon) {
        return new DaemonTable(daemon);
    }

    /** Answers no calls of a daemon from now on. */
    void silence(String daemon) {
        mSilentTo.add(daemon);
    }

    /** Answers a daemon again; the calls it has made meanwhile stay without an answer. */
    void restore(String daemon) {
        mSilentTo.remove(daemon);
    }

    /** Drops the history, so that readers have to read all rows. */
    synchronized void compact() {
        mHistoryStart = mVersion;
        mChanges.clear();
    }

    synchronized List<String> names() {
        return List.copyOf(mRows.keySet());
    }

    /** Returns the number of transactions, those that failed included. */
    synchronized int transactions() {
        return mTransactions;
    }

    /** Returns the number of transactions, reads and polls. */
    synchronized int calls() {
        return mCalls;
    }

    private synchronized void countCall() {
        mCalls++;
    }

    /** Writes the row of a member, whatever is there. */
    void put(MemberRow row) {
        apply(
                new PartitionTable.Batch("")
                        .put(Schema.MEMBERS, row.name(), MessageCodec.encode(row)));
    }

    /** Removes a row. */
    void delete(String name) {
        apply(new PartitionTable.Batch("").delete(Schema.MEMBERS, name));
    }

    private Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> apply(
            PartitionTable.Batch batch) {
        List<Runnable> polls;
        synchronized (this) {
            mTransactions++;
            for (PartitionTable.Check check : batch.checks()) {
                if (versionOf(check.name()) != check.version()) {
                    return Either.left(
                            new PartitionTable.CommitFailure(
                                    TableError.conflict("a checked row"), List.of()));
                }
            }
            mVersion++;
            batch.writes().forEach(it -> write(it.name(), it.value()));
            polls = List.copyOf(mPolls);
            mPolls.clear();
        }
        polls.forEach(Runnable::run);
        return Either.right(new PartitionTable.CommitResult(mVersion, mVersion));
    }

    private long versionOf(String name) {
        PartitionTable.Entry row = mRows.get(name);
        return row == null ? PartitionTable.ABSENT : row.version();
    }

    private void write(String name, byte @Nullable [] value) {
        PartitionTable.Entry entry =
                new PartitionTable.Entry(
                        new PartitionTable.Key(Schema.MEMBERS, "", name), mVersion, value);
        mChanges.add(entry);
        if (value == null) {
            mRows.remove(name);
        } else {
            mRows.put(name, entry);
        }
    }

    private synchronized PartitionTable.Page page(List<PartitionTable.Entry> entries) {
        return new PartitionTable.Page(entries, false, mVersion, mVersion);
    }

    private final class DaemonTable extends UnansweredTable {
        private final String mDaemon;

        DaemonTable(String daemon) {
            mDaemon = daemon;
        }

        private <T> CompletableFuture<T> answer(T value) {
            return mSilentTo.contains(mDaemon)
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(value);
        }

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            countCall();
            return mSilentTo.contains(mDaemon) ? new CompletableFuture<>() : answer(apply(batch));
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            countCall();
            synchronized (MembersTable.this) {
                return answer(Either.right(page(List.copyOf(mRows.values()))));
            }
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> pollChanges(
                String table, long after, long waitMillis) {
            countCall();
            CompletableFuture<Either<TableError, Page>> result = new CompletableFuture<>();
            synchronized (MembersTable.this) {
                if (after < mHistoryStart) {
                    return answer(Either.left(TableError.conflict("history")));
                }
                if (after < mVersion) {
                    return answer(Either.right(page(changesAfter(after))));
                }
                mPolls.add(
                        () -> {
                            if (!mSilentTo.contains(mDaemon)) {
                                result.complete(Either.right(page(changesAfter(after))));
                            }
                        });
            }
            return result;
        }

        private List<Entry> changesAfter(long version) {
            synchronized (MembersTable.this) {
                return mChanges.stream().filter(it -> it.version() > version).toList();
            }
        }
    }
}
