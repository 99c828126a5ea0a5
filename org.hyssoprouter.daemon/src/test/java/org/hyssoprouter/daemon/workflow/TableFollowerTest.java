package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;

class TableFollowerTest {
    // Guards against a daemon that never reads its tables again after one unexpected row.
    @Test
    void followerReadsOnAfterListenerFailed() throws InterruptedException {
        CountDownLatch reads = new CountDownLatch(2);
        TableFollower.Listener failing =
                new TableFollower.Listener() {
                    @Override
                    public void onRow(PartitionTable.Entry entry) {
                        reads.countDown();
                        throw new IllegalStateException("unexpected row");
                    }
                };
        TableFollower follower =
                new TableFollower(
                        new SingleRowTable(),
                        new TableFollower.Subscription("table", List.of(""), 1_000, 0),
                        failing);
        follower.start();
        assertTrue(reads.await(10, TimeUnit.SECONDS), "the row is read again");
        follower.stop();
    }

    // Guards against a daemon that never reads its tables again after an error of the virtual
    // machine.
    @Test
    void followerReadsOnAfterError() throws InterruptedException {
        CountDownLatch reads = new CountDownLatch(2);
        TableFollower.Listener failing =
                new TableFollower.Listener() {
                    @Override
                    public void onRow(PartitionTable.Entry entry) {
                        reads.countDown();
                        throw new StackOverflowError("deep row");
                    }
                };
        TableFollower follower =
                new TableFollower(
                        new SingleRowTable(),
                        new TableFollower.Subscription("table", List.of(""), 1_000, 0),
                        failing);
        follower.start();
        assertTrue(reads.await(10, TimeUnit.SECONDS), "the row is read again");
        follower.stop();
    }

    // Guards against a follower that waits forever for an answer that got lost in the process.
    @Test
    void readWithoutAnswerIsRepeated() throws InterruptedException {
        CountDownLatch synced = new CountDownLatch(1);
        TableFollower.Listener listener =
                new TableFollower.Listener() {
                    @Override
                    public void onRow(PartitionTable.Entry entry) {}

                    @Override
                    public void onSynced(long version, long storeMillis) {
                        synced.countDown();
                    }
                };
        TableFollower follower =
                new TableFollower(
                        new SingleRowTable(1),
                        new TableFollower.Subscription("table", List.of(""), 1_000, 0),
                        listener);
        follower.start();
        assertTrue(synced.await(20, TimeUnit.SECONDS), "the read is repeated");
        follower.stop();
    }

    // Guards against a row of another writer that is taken for the one with its key: changes are
    // those of all partitions of the table.
    @Test
    void changesOfOtherPartitionsAreIgnored() throws InterruptedException {
        List<String> partitions = new CopyOnWriteArrayList<>();
        CountDownLatch synced = new CountDownLatch(2);
        TableFollower.Listener listener =
                new TableFollower.Listener() {
                    @Override
                    public void onRow(PartitionTable.Entry entry) {
                        partitions.add(entry.key().partition());
                    }

                    @Override
                    public void onSynced(long version, long storeMillis) {
                        synced.countDown();
                    }
                };
        TableFollower follower =
                new TableFollower(
                        new SingleRowTable(0, "other", ""),
                        new TableFollower.Subscription("table", List.of(""), 1_000, 0),
                        listener);
        follower.start();
        assertTrue(synced.await(20, TimeUnit.SECONDS), "the changes are read");
        follower.stop();
        assertEquals(List.of("", ""), partitions);
    }

    // Guards against a time up to which all changes seem to be read: an answer that is full lacks
    // those after it.
    @Test
    void answerWithTheMostRowsIsNotTakenForAllChanges() throws InterruptedException {
        String[] full = Collections.nCopies(500, "").toArray(new String[0]);
        assertFirstChangesAreNotAll(new SingleRowTable(0, full));
    }

    @Test
    void answerWithTheMostBytesIsNotTakenForAllChanges() throws InterruptedException {
        String[] changes = Collections.nCopies(180, "").toArray(new String[0]);
        assertFirstChangesAreNotAll(new SingleRowTable(0, changes).withValues(4_000));
    }

    private static void assertFirstChangesAreNotAll(SingleRowTable table)
            throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(2);
        List<Long> synced = new CopyOnWriteArrayList<>();
        TableFollower.Listener listener =
                new TableFollower.Listener() {
                    @Override
                    public void onRow(PartitionTable.Entry entry) {}

                    @Override
                    public void onAnswered() {
                        answered.countDown();
                    }

                    @Override
                    public void onSynced(long version, long storeMillis) {
                        synced.add(version);
                    }
                };
        TableFollower follower =
                new TableFollower(
                        table,
                        new TableFollower.Subscription("table", List.of(""), 1_000, 60_000),
                        listener);
        follower.start();
        assertTrue(answered.await(20, TimeUnit.SECONDS), "both answers are read");
        assertTrue(table.mNextPoll.await(20, TimeUnit.SECONDS), "the rest is read at once");
        follower.stop();
        assertEquals(List.of(1L), synced);
    }

    private static final class SingleRowTable implements PartitionTable {
        private final List<String> mChangedPartitions;
        private final AtomicBoolean mChangesRead = new AtomicBoolean();
        private final CountDownLatch mNextPoll = new CountDownLatch(1);
        private volatile int mValueBytes = 1;
        private final AtomicInteger mLostAnswers;

        SingleRowTable() {
            this(0);
        }

        /**
         * Creates a table.
         *
         * @param lostAnswers number of reads that are not answered
         * @param changedPartitions partitions in which the row then changes, in order
         */
        SingleRowTable(int lostAnswers, String... changedPartitions) {
            mLostAnswers = new AtomicInteger(lostAnswers);
            mChangedPartitions = List.of(changedPartitions);
        }

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            if (mLostAnswers.getAndDecrement() > 0) {
                return new CompletableFuture<>();
            }
            return CompletableFuture.completedFuture(
                    Either.right(
                            new Page(List.of(row(range.table(), range.partition())), false, 1, 0)));
        }

        /** Sets the size of the values in bytes. */
        SingleRowTable withValues(int bytes) {
            mValueBytes = bytes;
            return this;
        }

        private Entry row(String table, String partition) {
            return new Entry(new Key(table, partition, "row"), 1, new byte[mValueBytes]);
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> pollChanges(
                String table, long after, long waitMillis) {
            if (mChangedPartitions.isEmpty() || mChangesRead.getAndSet(true)) {
                mNextPoll.countDown();
                return new CompletableFuture<>();
            }
            List<Entry> rows = mChangedPartitions.stream().map(it -> row(table, it)).toList();
            return CompletableFuture.completedFuture(Either.right(new Page(rows, false, 2, 0)));
        }

        @Override
        public CompletableFuture<Either<TableError, List<String>>> listPartitions(String table) {
            return new CompletableFuture<>();
        }
    }
}
