package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Sends a transaction that stays without an answer, while the store answers later calls, a second
 * time on another connection, and returns the first result that is certain. A transaction must have
 * a check that fails once it has taken effect, or the same effect when made twice. A conflict is
 * reported as it is: the caller finds its own rows in it. Reads are passed through. Thread-safe.
 */
final class HedgedTable implements PartitionTable {
    private final PartitionTable mTable;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final WorkflowMeters mMeters;

    /** Guarded by itself. */
    private final HedgePolicy mPolicy;

    /** Time at which the last call was sent that the store has answered. */
    private final AtomicLong mLastAnsweredMillis = new AtomicLong(Long.MIN_VALUE);

    HedgedTable(
            PartitionTable table,
            SerialExecutor thread,
            MonotonicClock clock,
            WorkflowMeters meters) {
        mTable = table;
        mThread = thread;
        mClock = clock;
        mMeters = meters;
        mPolicy = new HedgePolicy(clock.millis());
    }

    @Override
    public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
        Transaction transaction = new Transaction(batch);
        transaction.send();
        long delayMillis;
        synchronized (mPolicy) {
            delayMillis = mPolicy.delayMillis();
        }
        mThread.schedule(transaction::hedge, delayMillis);
        return transaction.mResult;
    }

    @Override
    public CompletableFuture<Either<TableError, Page>> read(Range range) {
        return recordAnswer(mTable.read(range));
    }

    @Override
    public CompletableFuture<Either<TableError, Page>> pollChanges(
            String table, long after, long waitMillis) {
        return recordAnswer(mTable.pollChanges(table, after, waitMillis));
    }

    private <T> CompletableFuture<Either<TableError, T>> recordAnswer(
            CompletableFuture<Either<TableError, T>> call) {
        long sentMillis = mClock.millis();
        return call.thenApply(
                result -> {
                    if (result.isRight()) {
                        recordAnswer(sentMillis);
                    }
                    return result;
                });
    }

    private void recordAnswer(long sentMillis) {
        mLastAnsweredMillis.accumulateAndGet(sentMillis, Math::max);
    }

    @Override
    public CompletableFuture<Either<TableError, List<String>>> listPartitions(String table) {
        return mTable.listPartitions(table);
    }

    /** One transaction and its open calls. */
    private final class Transaction {
        final CompletableFuture<Either<CommitFailure, CommitResult>> mResult =
                new CompletableFuture<>();
        private final Batch mBatch;
        private final long mSentMillis = mClock.millis();

        // Guarded by this.
        private int mOpenCalls;
        private @Nullable CommitFailure mUnknown;

        Transaction(Batch batch) {
            mBatch = batch;
        }

        void send() {
            synchronized (this) {
                mOpenCalls++;
            }
            CompletableFuture<Void> unused =
                    PortCalls.recover(
                                    mTable.commit(mBatch), "commit", CommitFailure::unknownOutcome)
                            .thenAccept(this::handleResult);
        }

        void hedge() {
            // If the store has answered no later call either, it is slow or cannot be reached.
            boolean answersLaterCalls = mLastAnsweredMillis.get() > mSentMillis;
            if (mResult.isDone() || !answersLaterCalls) {
                return;
            }
            boolean allowed;
            synchronized (mPolicy) {
                allowed = mPolicy.tryHedge(mClock.millis());
            }
            if (allowed) {
                mMeters.recordHedgedCommit();
                send();
            }
        }

        private void handleResult(Either<CommitFailure, CommitResult> result) {
            if (isCertain(result)) {
                complete(result);
                return;
            }
            CommitFailure failure = result.getLeft();
            Either<CommitFailure, CommitResult> outcome;
            synchronized (this) {
                mOpenCalls--;
                if (failure.error().kind() == TableError.Kind.UNKNOWN) {
                    mUnknown = failure;
                }
                if (mOpenCalls > 0) {
                    return;
                }
                // What one call left without effect, the other one may have written.
                outcome = mUnknown == null ? result : Either.left(mUnknown);
            }
            mResult.complete(outcome);
        }

        private void complete(Either<CommitFailure, CommitResult> result) {
            recordAnswer(mSentMillis);
            if (mResult.complete(result)) {
                synchronized (mPolicy) {
                    mPolicy.recordDuration(mClock.millis() - mSentMillis);
                }
            }
        }
    }

    /** Returns whether the other call of the transaction cannot change the result. */
    private static boolean isCertain(Either<CommitFailure, CommitResult> result) {
        return result.isRight() || result.getLeft().error().kind() == TableError.Kind.CONFLICT;
    }
}
