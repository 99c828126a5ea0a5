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

    private final Deque<Runnable> mScheduledTasks = new ArrayDeque<>();
    private final FailingTable mTable = new FailingTable();
    private long mNowMillis;
    private final JobWriter mWriter =
            new JobWriter(mTable, "j0", new ManualExecutor(), () -> mNowMillis, millis -> {});

    // Guards against retrying for too long: a peer may be served while the store is too busy for
    // this host.
    @Test
    void writeToBusyStoreIsRejectedSoon() {
        mTable.mError = TableError.busy("status 429");
        CompletableFuture<SubmitResult> result = mWriter.write("a", new byte[] {1});
        assertFalse(result.isDone(), "write to a busy store is retried");
        advance(400);
        assertEquals(Verdict.NOT_RUN, result.join().verdict());
    }

    @Test
    void unansweredWriteIsRetriedForLonger() {
        mTable.mError = TableError.unknown("timeout");
        CompletableFuture<SubmitResult> result = mWriter.write("a", new byte[] {1});
        advance(1_000);
        assertFalse(result.isDone(), "write with an unknown outcome is retried");
        advance(2_000);
        assertEquals(Verdict.MAY_HAVE_RUN, result.join().verdict());
    }

    private void advance(long millis) {
        for (long untilMillis = mNowMillis + millis; mNowMillis < untilMillis; ) {
            mNowMillis += STEP_MILLIS;
            List<Runnable> due = new ArrayList<>(mScheduledTasks);
            mScheduledTasks.clear();
            due.forEach(Runnable::run);
        }
    }

    /** Runs delayed tasks with the next step of the clock. */
    private final class ManualExecutor implements SerialExecutor {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public void schedule(Runnable task, long delayMillis) {
            mScheduledTasks.add(task);
        }

        @Override
        public void scheduleWithFixedDelay(Runnable task, long pauseMillis) {}

        @Override
        public void shutdownNow() {}

        @Override
        public void shutdown(long withinMillis) {}
    }

    /** Fails every transaction with the current error. */
    private static final class FailingTable implements PartitionTable {
        TableError mError = TableError.unavailable("store is unavailable");

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
