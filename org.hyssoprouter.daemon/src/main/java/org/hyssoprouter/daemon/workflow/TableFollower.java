package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Follows the rows of a table on a thread of its own: reads them all, then waits for changes, and
 * reads them all again when the store has dropped its history.
 *
 * @since 0.2
 */
public final class TableFollower implements Service {
    private static final EventLogger LOG = EventLogger.of(TableFollower.class);
    private static final int PAGE_ROWS = 500;
    private static final long RETRY_MILLIS = 150;
    private static final char FIRST_AFTER = '\0';

    private final PartitionTable mTable;
    private final Subject mSubject;
    private final Listener mListener;
    private volatile boolean mStopped;
    private volatile @Nullable Thread mThread;
    private boolean mLost;

    /**
     * What to follow.
     *
     * @param table name of the table
     * @param partitions partitions to read at first
     * @param waitMillis time that the store holds back an answer without a change
     * @param pauseMillis time between an answer and the next call
     */
    public record Subject(
            String table, List<String> partitions, long waitMillis, long pauseMillis) {}

    /** Takes in what is read. All calls come from the follower's thread. */
    public interface Listener {
        /** All rows follow; those that do not are gone. */
        default void reset() {}

        /** A row was read or has changed; its value is null if it was deleted. */
        void row(PartitionTable.Entry entry);

        /**
         * Everything up to a version is known.
         *
         * @param storeMillis steady clock of the store at the reading
         */
        default void synced(long version, long storeMillis) {}

        /** A reading failed. */
        default void failed(TableError error) {}
    }

    /** Creates a follower. */
    public TableFollower(PartitionTable table, Subject subject, Listener listener) {
        mTable = table;
        mSubject = subject;
        mListener = listener;
    }

    @Override
    public void start() {
        Thread thread = new Thread(this::follow, "follow-" + mSubject.table());
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

    private void follow() {
        try {
            while (!mStopped) {
                long version = readAll();
                while (!mStopped && version >= 0) {
                    version = readChanges(version);
                }
            }
        } catch (InterruptedException e) {
            // stop() interrupts; nothing is left to do.
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the version up to which all is known, or -1 after a failure. */
    private long readAll() throws InterruptedException {
        List<CompletableFuture<Either<TableError, PartitionTable.Page>>> first = new ArrayList<>();
        mSubject.partitions().forEach(partition -> first.add(mTable.read(range(partition, ""))));
        List<PartitionTable.Page> pages = new ArrayList<>();
        long version = Long.MAX_VALUE;
        long storeMillis = Long.MAX_VALUE;
        for (int i = 0; i < first.size(); i++) {
            Either<TableError, PartitionTable.Page> read = await(first.get(i));
            while (read.isRight()) {
                PartitionTable.Page page = read.get();
                pages.add(page);
                version = Math.min(version, page.version());
                storeMillis = Math.min(storeMillis, page.storeMillis());
                if (!page.more() || page.entries().isEmpty()) {
                    break;
                }
                String last = page.entries().get(page.entries().size() - 1).key().name();
                read = await(mTable.read(range(mSubject.partitions().get(i), last + FIRST_AFTER)));
            }
            if (read.isLeft()) {
                failed(read.getLeft());
                return -1;
            }
        }
        mListener.reset();
        pages.forEach(page -> page.entries().forEach(mListener::row));
        answered(version);
        mListener.synced(version, storeMillis);
        return version;
    }

    private PartitionTable.Range range(String partition, String from) {
        return new PartitionTable.Range(mSubject.table(), partition, from, "", PAGE_ROWS);
    }

    private long readChanges(long version) throws InterruptedException {
        Either<TableError, PartitionTable.Page> read =
                await(mTable.changes(mSubject.table(), version, mSubject.waitMillis()));
        if (read.isLeft()) {
            if (read.getLeft().kind() == TableError.Kind.CONFLICT) {
                return -1;
            }
            failed(read.getLeft());
            return version;
        }
        PartitionTable.Page page = read.get();
        answered(page.version());
        page.entries().forEach(mListener::row);
        mListener.synced(page.version(), page.storeMillis());
        Thread.sleep(mSubject.pauseMillis());
        return Math.max(version, page.version());
    }

    private void answered(long version) {
        if (mLost) {
            mLost = false;
            LOG.log(LogEvent.TABLE_BACK, mSubject.table(), version);
        }
    }

    private void failed(TableError error) throws InterruptedException {
        if (!mLost) {
            mLost = true;
            LOG.log(LogEvent.TABLE_LOST, mSubject.table(), error.message());
        }
        mListener.failed(error);
        Thread.sleep(RETRY_MILLIS);
    }

    private static <T> Either<TableError, T> await(CompletableFuture<Either<TableError, T>> future)
            throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            return Either.left(TableError.unavailable(String.valueOf(e.getCause())));
        }
    }
}
