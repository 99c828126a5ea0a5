package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Follows the rows of a table on its own thread: reads all rows, then waits for changes, and reads
 * all rows again when the store has dropped its history.
 *
 * @since 0.2
 */
public final class TableFollower implements Service {
    private static final EventLogger LOG = EventLogger.of(TableFollower.class);
    private static final long RETRY_DELAY_MILLIS = 150;

    /** Number of rows that the store returns at most in one answer. */
    private static final int MAX_PAGE_ROWS = 500;

    /**
     * Size of the values of an answer that may be full: 1 MB as text, with the rest of the rows.
     */
    private static final long MAX_PAGE_BYTES = 600_000;

    /** Limit beyond the wait of a poll whose answer gets lost in this process. */
    private static final long POLL_LIMIT_MILLIS = 15_000;

    private final PartitionTable mTable;
    private final Subscription mSubscription;
    private final Listener mListener;
    private volatile boolean mStopped;
    private volatile @Nullable Thread mThread;

    /** Poll whose answer is awaited. */
    private volatile @Nullable CompletableFuture<Either<TableError, PartitionTable.Page>> mPoll;

    private boolean mReadFailing;

    /**
     * Table to follow.
     *
     * @param table name of the table
     * @param partitions partitions to follow; rows of others are ignored
     * @param waitMillis time for which the store holds back an answer without changes, in
     *     milliseconds
     * @param pauseMillis time between an answer and the next call, in milliseconds
     */
    public record Subscription(
            String table, List<String> partitions, long waitMillis, long pauseMillis) {}

    /** Receives the rows that are read. All calls come from the follower's thread. */
    public interface Listener {
        /** All rows follow; rows that are missing from them have been deleted. */
        default void onReset() {}

        /** A row was read or has changed; its value is null if it was deleted. */
        void onRow(PartitionTable.Entry entry);

        /** The store has answered; more changes may follow. */
        default void onAnswered() {}

        /**
         * All changes up to a version have been read.
         *
         * @param version version of the store
         * @param storeMillis steady clock of the store at the read, in milliseconds
         */
        default void onSynced(long version, long storeMillis) {}

        /** A read failed. */
        default void onReadFailed(TableError error) {}
    }

    /** Creates a follower. */
    public TableFollower(PartitionTable table, Subscription subject, Listener listener) {
        mTable = table;
        mSubscription = subject;
        mListener = listener;
    }

    @Override
    public void start() {
        Thread thread = new Thread(this::follow, "follow-" + mSubscription.table());
        thread.setDaemon(true);
        mThread = thread;
        thread.start();
    }

    @Override
    public void stop() {
        mStopped = true;
        Thread thread = mThread;
        if (thread != null) {
            thread.interrupt();
        }
    }

    /** Gives up an open poll, whose connection may be lost, and polls again. */
    public void restartPoll() {
        CompletableFuture<Either<TableError, PartitionTable.Page>> poll = mPoll;
        if (poll != null) {
            poll.complete(Either.left(TableError.unavailable("poll given up")));
        }
    }

    private void follow() {
        try {
            while (!mStopped) {
                try {
                    followFromStart();
                } catch (RuntimeException | Error e) {
                    LOG.log(LogEvent.TASK_FAILED, e, "follow-" + mSubscription.table(), e);
                    Thread.sleep(RETRY_DELAY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            // stop() interrupts the thread, which then ends.
            Thread.currentThread().interrupt();
        }
    }

    private void followFromStart() throws InterruptedException {
        long version = readAll();
        while (!mStopped && version >= 0) {
            version = readChanges(version);
        }
    }

    /** Reads all rows. Returns the version up to which they are known. */
    private long readAll() throws InterruptedException {
        TableScan.Result result =
                new TableScan(
                                mTable,
                                mSubscription.table(),
                                mSubscription.partitions(),
                                this::reportReadFailure)
                        .read();
        mListener.onReset();
        result.entries().forEach(mListener::onRow);
        handleReadSuccess(result.version());
        mListener.onAnswered();
        mListener.onSynced(result.version(), result.storeMillis());
        return result.version();
    }

    private long readChanges(long version) throws InterruptedException {
        Either<TableError, PartitionTable.Page> read = poll(version);
        if (read.isLeft()) {
            if (read.getLeft().kind() == TableError.Kind.CONFLICT) {
                return -1;
            }
            reportReadFailure(read.getLeft());
            Thread.sleep(RETRY_DELAY_MILLIS);
            return version;
        }
        PartitionTable.Page page = read.get();
        handleReadSuccess(page.version());
        // The store reports the changes of all partitions.
        page.entries().stream()
                .filter(row -> mSubscription.partitions().contains(row.key().partition()))
                .forEach(mListener::onRow);
        mListener.onAnswered();
        // The changes after a full answer are read at once, so that the reads catch up.
        if (isWhole(page)) {
            mListener.onSynced(page.version(), page.storeMillis());
            Thread.sleep(mSubscription.pauseMillis());
        }
        return Math.max(version, page.version());
    }

    /** Returns whether an answer has all changes up to its time. */
    private static boolean isWhole(PartitionTable.Page page) {
        long bytes = 0;
        for (PartitionTable.Entry entry : page.entries()) {
            byte[] value = entry.value();
            bytes += value == null ? 0 : value.length;
        }
        return !page.hasMore() && page.entries().size() < MAX_PAGE_ROWS && bytes < MAX_PAGE_BYTES;
    }

    private Either<TableError, PartitionTable.Page> poll(long version) throws InterruptedException {
        long waitMillis = mSubscription.waitMillis();
        CompletableFuture<Either<TableError, PartitionTable.Page>> poll =
                mTable.pollChanges(mSubscription.table(), version, waitMillis)
                        .thenApply(Function.identity());
        mPoll = poll;
        try {
            return poll.get(waitMillis + POLL_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return Either.left(TableError.unavailable(String.valueOf(e)));
        }
    }

    private void handleReadSuccess(long version) {
        if (mReadFailing) {
            mReadFailing = false;
            LOG.log(LogEvent.TABLE_REACHABLE, mSubscription.table(), version);
        }
    }

    private void reportReadFailure(TableError error) {
        if (!mReadFailing) {
            mReadFailing = true;
            LOG.log(LogEvent.TABLE_UNREACHABLE, mSubscription.table(), error.message());
        }
        mListener.onReadFailed(error);
    }
}
