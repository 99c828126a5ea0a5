package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;

class JobWriterTest {
    private static final long STEP_MILLIS = 100;

    private final Deque<Runnable> mLater = new ArrayDeque<>();
    private final FailingTable mTable = new FailingTable();
    private long mNowMillis;
    private final JobWriter mWriter =
            new JobWriter(mTable, "j0", new ManualTasks(), () -> mNowMillis, millis -> {});

    // A peer may be served while the store is too busy for this host.
    @Test
    void aWriteThatTheStoreIsTooBusyForIsRefusedSoon() {
        mTable.mError = TableError.busy("status 429");
        CompletableFuture<SubmitResult> result = mWriter.write("a", new byte[] {1});
        assertFalse(result.isDone(), "a busy store is asked again");
        pass(400);
        assertEquals(Verdict.NOT_RUN, result.join().verdict());
    }

    @Test
    void aWriteWithoutAnAnswerIsMadeAgainForLonger() {
        mTable.mError = TableError.unknown("timeout");
        CompletableFuture<SubmitResult> result = mWriter.write("a", new byte[] {1});
        pass(1_000);
        assertFalse(result.isDone(), "it may be stored");
        pass(2_000);
        assertEquals(Verdict.MAY_HAVE_RUN, result.join().verdict());
    }

    private void pass(long millis) {
        for (long untilMillis = mNowMillis + millis; mNowMillis < untilMillis; ) {
            mNowMillis += STEP_MILLIS;
            List<Runnable> due = new ArrayList<>(mLater);
            mLater.clear();
            due.forEach(Runnable::run);
        }
    }

    /** Runs what is due later with the next step of time. */
    private final class ManualTasks implements SerialExecutor {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public void schedule(Runnable task, long delayMillis) {
            mLater.add(task);
        }

        @Override
        public void scheduleWithFixedDelay(Runnable task, long pauseMillis) {}

        @Override
        public void shutdownNow() {}

        @Override
        public void shutdown(long withinMillis) {}
    }

    /** Fails each transaction. */
    private static final class FailingTable implements PartitionTable {
        TableError mError = TableError.unavailable("out");

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            return CompletableFuture.completedFuture(
                    Either.left(new CommitFailure(mError, List.of())));
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> pollChanges(
                String table, long after, long waitMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Either<TableError, List<String>>> listPartitions(String table) {
            return new CompletableFuture<>();
        }
    }
}
