package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Lane of single transactions of independent callers.
 *
 * @since 0.1
 */
public final class TransactionQueue implements WriteSource, GroupCommit {
    private static final int MAX_PARTS_PER_GROUP = 64;

    private final GroupWriter mWriter;
    private final MonotonicClock mClock;
    private final Deque<PendingTransaction> mQueue = new ArrayDeque<>();

    /** Creates a lane and adds it to the writer. */
    public TransactionQueue(GroupWriter writer, MonotonicClock clock) {
        mWriter = writer;
        mClock = clock;
        writer.addSource(this);
    }

    @Override
    public CompletableFuture<Either<TableError, Boolean>> commit(
            Transaction transaction, long withinMillis) {
        return submit(() -> transaction, withinMillis, committed -> {})
                .thenApply(result -> result.map(committed -> true));
    }

    /**
     * As {@link #commit}, with the transaction made when its group is formed.
     *
     * @param onEffect called on the writer's thread before the next group is formed
     */
    public CompletableFuture<Either<TableError, CommitReceipt>> submit(
            Supplier<Transaction> transaction,
            long withinMillis,
            Consumer<CommitReceipt> onEffect) {
        Deadline deadline = Deadline.after(mClock, withinMillis);
        PendingTransaction entry = new PendingTransaction(transaction, deadline, onEffect);
        synchronized (mQueue) {
            mQueue.add(entry);
        }
        mWriter.signal();
        return entry.mFuture;
    }

    @Override
    public List<GroupPart> takeParts() {
        List<GroupPart> taken = new ArrayList<>();
        synchronized (mQueue) {
            while (taken.size() < MAX_PARTS_PER_GROUP && !mQueue.isEmpty()) {
                taken.add(mQueue.remove().prepare());
            }
            if (!mQueue.isEmpty()) {
                mWriter.signal();
            }
        }
        return taken;
    }

    @Override
    public void expire() {
        long nowMillis = mClock.millis();
        List<PendingTransaction> expired = new ArrayList<>();
        synchronized (mQueue) {
            mQueue.removeIf(entry -> entry.mDeadline.hasPassed(nowMillis) && expired.add(entry));
        }
        TableError error = TableError.unavailable("not handed to the table in time");
        expired.forEach(entry -> entry.mFuture.complete(Either.left(error)));
    }

    private void requeue(PendingTransaction entry) {
        synchronized (mQueue) {
            mQueue.add(entry);
        }
    }

    private final class PendingTransaction implements GroupPart {
        private final Supplier<Transaction> mSource;
        private final Deadline mDeadline;
        private final Consumer<CommitReceipt> mOnEffect;
        private final CompletableFuture<Either<TableError, CommitReceipt>> mFuture =
                new CompletableFuture<>();
        private Transaction mTransaction = Transaction.create();

        PendingTransaction(
                Supplier<Transaction> source, Deadline deadline, Consumer<CommitReceipt> onEffect) {
            mSource = source;
            mDeadline = deadline;
            mOnEffect = onEffect;
        }

        PendingTransaction prepare() {
            mTransaction = mSource.get();
            return this;
        }

        @Override
        public Transaction transaction() {
            return mTransaction;
        }

        @Override
        public void complete(Either<TableError, CommitReceipt> outcome) {
            boolean isRetry = outcome.isLeft() && outcome.getLeft().isWithoutEffect();
            if (isRetry) {
                requeue(this);
                return;
            }
            outcome.peek(mOnEffect);
            mFuture.complete(outcome);
        }
    }
}
