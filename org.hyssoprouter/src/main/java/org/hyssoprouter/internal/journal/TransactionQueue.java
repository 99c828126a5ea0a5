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
 * Queue of transactions from independent callers, which the group writer commits as parts of its
 * groups.
 *
 * @since 0.1
 */
public final class TransactionQueue implements WriteSource, GroupCommit {
    private static final int MAX_PARTS_PER_GROUP = 64;

    private final GroupWriter mWriter;
    private final MonotonicClock mClock;
    private final Deque<PendingTransaction> mQueue = new ArrayDeque<>();

    /** Creates a queue and registers it as a source of the writer. */
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
     * Commits like {@link #commit}, but creates the transaction only when its group is formed.
     *
     * @param transaction creates the transaction; called again if the transaction is retried
     * @param withinMillis as for {@link #commit}
     * @param onCommitted called on the writer's thread before the next group is formed
     */
    public CompletableFuture<Either<TableError, CommitReceipt>> submit(
            Supplier<Transaction> transaction,
            long withinMillis,
            Consumer<CommitReceipt> onCommitted) {
        Deadline deadline = Deadline.after(mClock, withinMillis);
        PendingTransaction pending = new PendingTransaction(transaction, deadline, onCommitted);
        synchronized (mQueue) {
            mQueue.add(pending);
        }
        mWriter.signal();
        return pending.mFuture;
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
            mQueue.removeIf(
                    pending -> pending.mDeadline.hasPassed(nowMillis) && expired.add(pending));
        }
        TableError error = TableError.unavailable("not sent to the table within the time limit");
        expired.forEach(pending -> pending.mFuture.complete(Either.left(error)));
    }

    private void requeue(PendingTransaction pending) {
        synchronized (mQueue) {
            mQueue.add(pending);
        }
    }

    private final class PendingTransaction implements GroupPart {
        private final Supplier<Transaction> mSupplier;
        private final Deadline mDeadline;
        private final Consumer<CommitReceipt> mOnCommitted;
        private final CompletableFuture<Either<TableError, CommitReceipt>> mFuture =
                new CompletableFuture<>();
        private Transaction mTransaction = Transaction.create();

        PendingTransaction(
                Supplier<Transaction> supplier,
                Deadline deadline,
                Consumer<CommitReceipt> onCommitted) {
            mSupplier = supplier;
            mDeadline = deadline;
            mOnCommitted = onCommitted;
        }

        PendingTransaction prepare() {
            mTransaction = mSupplier.get();
            return this;
        }

        @Override
        public Transaction transaction() {
            return mTransaction;
        }

        @Override
        public void complete(Either<TableError, CommitReceipt> outcome) {
            boolean isRetryable = outcome.isLeft() && outcome.getLeft().isWithoutEffect();
            if (isRetryable) {
                requeue(this);
                return;
            }
            outcome.peek(mOnCommitted);
            mFuture.complete(outcome);
        }
    }
}
