package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;

/**
 * Reads all rows of a table once. The partitions are read in parallel; a page that fails is read
 * again and smaller, and the pages of the other partitions are kept.
 */
final class TableScan {
    private static final int MAX_PAGE_ROWS = 500;

    /** A page grows by this number of rows and a quarter after each success. */
    private static final int PAGE_GROWTH_ROWS = 4;

    private static final int PAGE_GROWTH_DIVISOR = 4;

    /** Minimum number of concurrent reads after failures. */
    private static final int MIN_CONCURRENT_READS = 4;

    private static final long RETRY_DELAY_MILLIS = 150;

    /** Limit of a read whose answer gets lost in this process; the store's limit is shorter. */
    private static final long READ_LIMIT_MILLIS = 15_000;

    /** Appended to a key to get the smallest key after it. */
    private static final char NEXT_KEY_SUFFIX = '\0';

    private final PartitionTable mTable;
    private final String mName;
    private final Consumer<TableError> mFailureListener;
    private final Deque<Cursor> mReady = new ArrayDeque<>();
    private final List<Cursor> mFailed = new ArrayList<>();
    private final BlockingQueue<Answer> mAnswers = new LinkedBlockingQueue<>();
    private final List<PartitionTable.Entry> mEntries = new ArrayList<>();
    private int mMaxConcurrentReads;
    private int mOpenReads;
    private long mVersion = Long.MAX_VALUE;
    private long mStoreMillis = Long.MAX_VALUE;

    /** Position in a partition and size of the next page. */
    private static final class Cursor {
        private final String mPartition;
        private String mFrom = "";
        private int mPageRows = MAX_PAGE_ROWS;

        Cursor(String partition) {
            mPartition = partition;
        }
    }

    private record Answer(Cursor cursor, Either<TableError, PartitionTable.Page> page) {}

    /**
     * Rows of a table.
     *
     * @param entries rows, in key order within each partition
     * @param version version up to which all changes are included
     * @param storeMillis steady clock of the store at the first page, in milliseconds
     */
    record Result(List<PartitionTable.Entry> entries, long version, long storeMillis) {}

    /**
     * Creates a scan.
     *
     * @param failureListener receives each failed read, on the thread of {@link #read()}
     */
    TableScan(
            PartitionTable table,
            String name,
            List<String> partitions,
            Consumer<TableError> failureListener) {
        mTable = table;
        mName = name;
        mFailureListener = failureListener;
        mMaxConcurrentReads = partitions.size();
        partitions.forEach(partition -> mReady.add(new Cursor(partition)));
    }

    /** Reads all rows, and repeats failed reads until they succeed. */
    Result read() throws InterruptedException {
        while (true) {
            startReads();
            if (mOpenReads > 0) {
                handle(mAnswers.take());
            } else if (mFailed.isEmpty()) {
                return new Result(mEntries, mVersion, mStoreMillis);
            } else {
                Thread.sleep(RETRY_DELAY_MILLIS);
                mMaxConcurrentReads = Math.max(MIN_CONCURRENT_READS, mMaxConcurrentReads / 2);
                mReady.addAll(mFailed);
                mFailed.clear();
            }
        }
    }

    private void startReads() {
        while (mOpenReads < mMaxConcurrentReads && !mReady.isEmpty()) {
            Cursor cursor = mReady.remove();
            mOpenReads++;
            var unused =
                    mTable.read(
                                    new PartitionTable.Range(
                                            mName,
                                            cursor.mPartition,
                                            cursor.mFrom,
                                            "",
                                            cursor.mPageRows))
                            .orTimeout(READ_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                            .exceptionally(
                                    e -> Either.left(TableError.unavailable(String.valueOf(e))))
                            .thenAccept(page -> mAnswers.add(new Answer(cursor, page)));
        }
    }

    private void handle(Answer answer) {
        mOpenReads--;
        Cursor cursor = answer.cursor();
        if (answer.page().isLeft()) {
            cursor.mPageRows = Math.max(1, cursor.mPageRows / 2);
            mFailed.add(cursor);
            mFailureListener.accept(answer.page().getLeft());
            return;
        }
        PartitionTable.Page page = answer.page().get();
        mEntries.addAll(page.entries());
        mVersion = Math.min(mVersion, page.version());
        mStoreMillis = Math.min(mStoreMillis, page.storeMillis());
        if (page.hasMore() && !page.entries().isEmpty()) {
            String last = page.entries().get(page.entries().size() - 1).key().name();
            cursor.mFrom = last + NEXT_KEY_SUFFIX;
            cursor.mPageRows = largerPage(cursor.mPageRows);
            mReady.add(cursor);
        }
    }

    private static int largerPage(int rows) {
        return Math.min(MAX_PAGE_ROWS, rows + rows / PAGE_GROWTH_DIVISOR + PAGE_GROWTH_ROWS);
    }
}
