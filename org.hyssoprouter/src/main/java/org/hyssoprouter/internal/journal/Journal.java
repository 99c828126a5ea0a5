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
 * Journal of one owned shard. Each group of the daemon checks the version of the shard's row, with
 * events or without, so a former owner cannot write and each group proves the ownership anew.
 *
 * @since 0.1
 */
public final class Journal implements EventLog, WriteSource {
    private static final int MAX_ROW_BYTES = 200 * 1024;

    /** Is told of the fate of the ownership; called on the writer's thread. */
    public interface Listener {
        /** A group took effect while the shard's row was unchanged. */
        void onConfirmed(long startedMillis);

        /** The shard's row has changed: another daemon owns the shard. */
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
     * Creates the journal of a shard; {@link #open} adds it to the writer.
     *
     * @param rowKey key of the shard's row
     * @param rowVersion version of that row under our epoch
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

    /** Starts to check the shard's row in each group. */
    public void open() {
        mWriter.addSource(this);
        mWriter.signal();
    }

    /** Sets the sequence of the last row that the shard's former owners wrote. */
    public void setLastSequence(long sequence) {
        synchronized (mLock) {
            mNextSequence = sequence + 1;
        }
    }

    /** Takes no more events; those that wait fail with a conflict. */
    public void close() {
        mWriter.removeSource(this);
        closeWith(TableError.conflict(mRowKey));
    }

    /** Returns the version of the shard's row under which this journal writes. */
    public long rowVersion() {
        synchronized (mLock) {
            return mRowVersion;
        }
    }

    /** Sets the version after a write of the shard's row by this daemon; on the writer's thread. */
    public void setRowVersion(long version) {
        synchronized (mLock) {
            mRowVersion = version;
        }
    }

    /** Returns the sequence of the newest row that was handed to the table. */
    public long lastSequence() {
        synchronized (mLock) {
            return mNextSequence - 1;
        }
    }

    @Override
    public CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis) {
        PendingAppend call =
                new PendingAppend(List.copyOf(events), Deadline.after(mClock, withinMillis));
        synchronized (mLock) {
            if (mClosed) {
                return CompletableFuture.completedFuture(Either.left(TableError.conflict(mRowKey)));
            }
            mPendingAppends.add(call);
        }
        mWriter.signal();
        return call.mFuture;
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

    // Calls are taken whole; one that alone is too large for a row gets several rows.
    private void fill(JournalPart part) {
        List<byte[]> row = new ArrayList<>();
        int rowBytes = 0;
        int partBytes = 0;
        while (!mPendingAppends.isEmpty()) {
            PendingAppend call = mPendingAppends.element();
            int callBytes = call.encodedBytes();
            if (partBytes > 0 && partBytes + callBytes > MAX_ROW_BYTES) {
                mWriter.signal();
                break;
            }
            partBytes += callBytes;
            part.mAppends.add(mPendingAppends.remove());
            for (byte[] event : call.mEncoded) {
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
                    call -> call.mDeadline.hasPassed(nowMillis) && expired.add(call));
        }
        complete(expired, Either.left(TableError.unavailable("not handed to the table in time")));
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
        List<PendingAppend> waiting;
        synchronized (mLock) {
            mClosed = true;
            waiting = new ArrayList<>(mPendingAppends);
            mPendingAppends.clear();
        }
        complete(waiting, Either.left(error));
    }

    private static void complete(List<PendingAppend> calls, Either<TableError, Boolean> outcome) {
        calls.forEach(call -> call.mFuture.complete(outcome));
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
