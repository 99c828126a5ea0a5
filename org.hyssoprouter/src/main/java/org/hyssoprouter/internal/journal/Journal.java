package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Journal of one owned shard. Every group of the daemon checks the version of the shard's row, even
 * if the group has no events of the shard. So a former owner cannot write, and each committed group
 * confirms the ownership.
 *
 * @since 0.1
 */
public final class Journal implements EventLog, WriteSource {
    private static final int MAX_ROW_BYTES = 200 * 1024;

    /** Listener for changes of the ownership; called on the writer's thread. */
    public interface Listener {
        /**
         * Called when a group was committed and the shard's row was unchanged.
         *
         * @param startedMillis monotonic time at which the group was first sent
         */
        void onConfirmed(long startedMillis);

        /** Called when the shard's row has changed, which means that another daemon owns it. */
        void onOwnershipLost();
    }

    private final String mShard;
    private final long mEpoch;
    private final String mRowKey;
    private final GroupWriter mWriter;
    private final MonotonicClock mClock;
    private final Listener mListener;
    private final Object mLock = new Object();
    private final Deque<PendingAppend> mPendingAppends = new ArrayDeque<>();
    private long mRowVersion;
    private long mNextSequence = 1;
    private boolean mClosed;

    /**
     * Creates the journal of a shard; {@link #open} registers it with the writer.
     *
     * @param rowKey key of the shard's row
     * @param rowVersion version of that row under this daemon's epoch
     */
    public Journal(
            String shard,
            long epoch,
            String rowKey,
            long rowVersion,
            GroupWriter writer,
            MonotonicClock clock,
            Listener listener) {
        mShard = shard;
        mEpoch = epoch;
        mRowKey = rowKey;
        mRowVersion = rowVersion;
        mWriter = writer;
        mClock = clock;
        mListener = listener;
    }

    /** Registers this journal with the writer, whose groups then check the shard's row. */
    public void open() {
        mWriter.addSource(this);
        mWriter.signal();
    }

    /** Sets the sequence of the last row written by a former owner of the shard. */
    public void setLastSequence(long sequence) {
        synchronized (mLock) {
            mNextSequence = sequence + 1;
        }
    }

    /** Rejects further events; pending ones fail with a conflict. */
    public void close() {
        mWriter.removeSource(this);
        closeWith(TableError.conflict(mRowKey));
    }

    /** Returns the version of the shard's row that this journal's groups check. */
    public long rowVersion() {
        synchronized (mLock) {
            return mRowVersion;
        }
    }

    /** Sets the version after this daemon wrote the shard's row; called on the writer's thread. */
    public void setRowVersion(long version) {
        synchronized (mLock) {
            mRowVersion = version;
        }
    }

    /** Returns the sequence of the newest row that was passed to the writer. */
    public long lastSequence() {
        synchronized (mLock) {
            return mNextSequence - 1;
        }
    }

    @Override
    public CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis) {
        PendingAppend append =
                new PendingAppend(List.copyOf(events), Deadline.after(mClock, withinMillis));
        synchronized (mLock) {
            if (mClosed) {
                return CompletableFuture.completedFuture(Either.left(TableError.conflict(mRowKey)));
            }
            mPendingAppends.add(append);
        }
        mWriter.signal();
        return append.mFuture;
    }

    @Override
    public List<GroupPart> takeParts() {
        synchronized (mLock) {
            if (mClosed) {
                return List.of();
            }
            JournalPart part =
                    new JournalPart(
                            Transaction.create().check(mRowKey, mRowVersion), mNextSequence);
            fill(part);
            return List.of(part);
        }
    }

    // An append is never split over parts. One that is too large for a row is written as several.
    private void fill(JournalPart part) {
        List<byte[]> row = new ArrayList<>();
        int rowBytes = 0;
        int partBytes = 0;
        while (!mPendingAppends.isEmpty()) {
            PendingAppend append = mPendingAppends.element();
            int appendBytes = append.encodedBytes();
            if (partBytes > 0 && partBytes + appendBytes > MAX_ROW_BYTES) {
                mWriter.signal();
                break;
            }
            partBytes += appendBytes;
            part.mAppends.add(mPendingAppends.remove());
            for (byte[] event : append.mEncoded) {
                if (rowBytes > 0 && rowBytes + event.length > MAX_ROW_BYTES) {
                    putRow(part, row);
                    row = new ArrayList<>();
                    rowBytes = 0;
                }
                row.add(event);
                rowBytes += event.length;
            }
        }
        if (!row.isEmpty()) {
            putRow(part, row);
        }
    }

    private void putRow(JournalPart part, List<byte[]> events) {
        String key = JournalKeys.row(mShard, mEpoch, mNextSequence++);
        part.mTransaction.put(key, MessageCodec.encode(new EventList(events)));
    }

    @Override
    public void expire() {
        long nowMillis = mClock.millis();
        List<PendingAppend> expired = new ArrayList<>();
        synchronized (mLock) {
            mPendingAppends.removeIf(
                    append -> append.mDeadline.hasPassed(nowMillis) && expired.add(append));
        }
        complete(
                expired,
                Either.left(TableError.unavailable("not sent to the table within the time limit")));
    }

    private void handleOutcome(JournalPart part, Either<TableError, CommitReceipt> outcome) {
        if (outcome.isRight()) {
            complete(part.mAppends, Either.right(true));
            mListener.onConfirmed(outcome.get().startedMillis());
            return;
        }
        TableError error = outcome.getLeft();
        if (error.isWithoutEffect()) {
            requeueOrFail(part);
            return;
        }
        mWriter.removeSource(this);
        complete(part.mAppends, Either.left(error));
        closeWith(error);
        mListener.onOwnershipLost();
    }

    private void requeueOrFail(JournalPart part) {
        synchronized (mLock) {
            if (!mClosed) {
                requeue(part);
                return;
            }
        }
        complete(part.mAppends, Either.left(TableError.conflict(mRowKey)));
    }

    private void requeue(JournalPart part) {
        mNextSequence = part.mFirstSequence;
        for (int i = part.mAppends.size() - 1; i >= 0; i--) {
            mPendingAppends.addFirst(part.mAppends.get(i));
        }
    }

    private void closeWith(TableError error) {
        List<PendingAppend> pending;
        synchronized (mLock) {
            mClosed = true;
            pending = new ArrayList<>(mPendingAppends);
            mPendingAppends.clear();
        }
        complete(pending, Either.left(error));
    }

    private static void complete(List<PendingAppend> appends, Either<TableError, Boolean> outcome) {
        appends.forEach(append -> append.mFuture.complete(outcome));
    }

    private static final class PendingAppend {
        private final List<ShardEvent> mEvents;
        private final Deadline mDeadline;
        private final CompletableFuture<Either<TableError, Boolean>> mFuture =
                new CompletableFuture<>();
        private List<byte[]> mEncoded = List.of();

        PendingAppend(List<ShardEvent> events, Deadline deadline) {
            mEvents = events;
            mDeadline = deadline;
        }

        int encodedBytes() {
            if (mEncoded.isEmpty()) {
                mEncoded = mEvents.stream().map(MessageCodec::encode).toList();
            }
            return mEncoded.stream().mapToInt(event -> event.length).sum();
        }
    }

    private final class JournalPart implements GroupPart {
        private final Transaction mTransaction;
        private final long mFirstSequence;
        private final List<PendingAppend> mAppends = new ArrayList<>();

        JournalPart(Transaction transaction, long firstSequence) {
            mTransaction = transaction;
            mFirstSequence = firstSequence;
        }

        @Override
        public Transaction transaction() {
            return mTransaction;
        }

        @Override
        public void complete(Either<TableError, CommitReceipt> outcome) {
            handleOutcome(this, outcome);
        }
    }
}
