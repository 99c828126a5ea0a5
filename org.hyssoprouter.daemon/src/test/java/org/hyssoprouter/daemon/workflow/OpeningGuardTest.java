package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Owner whose reads of the pools' state stay without an answer while its commits succeed. */
class OpeningGuardTest {
    private static final long LIMIT_SECONDS = 10;
    private static final long COMMIT_WAIT_MILLIS = 300;

    /** Duration of a commit; longer than the interval of the owner's checks. */
    private static final long COMMIT_MILLIS = 60;

    private final AtomicLong mNowMillis = new AtomicLong(1_000);
    private final UnreadableTable mTable = new UnreadableTable();
    private final LinkedBlockingQueue<String> mLosses = new LinkedBlockingQueue<>();
    private final WorkflowMeters mMeters = new WorkflowMeters();
    private final WorkflowSettings mSettings =
            new WorkflowSettings(
                    "d", "run", "127.0.0.1:1", new SchedulerLimits(6_000, 900, 2_500), 1_500, 1);
    private final PoolOwner mOwner =
            new PoolOwner(
                    new PoolOwner.Ports(
                            mTable,
                            new UnusedRunner(),
                            new UnusedWorkerSource(),
                            new MemberRegistry(
                                    mTable,
                                    mSettings,
                                    (task, delayMillis) -> {},
                                    mNowMillis::get,
                                    millis -> {}),
                            new UnusedApprovals(),
                            mNowMillis::get,
                            Clock.systemUTC(),
                            new StoreClock(mNowMillis::get),
                            mMeters),
                    mSettings,
                    new LossListener());

    @AfterEach
    void stop() {
        mOwner.stop();
    }

    private void begin(int unopenedCount) {
        mOwner.begin(
                new OwnerRow("d", "run", "127.0.0.1:1", 1, 0, false, unopenedCount, 0),
                1,
                PoolConfig.NONE);
    }

    // Guards against an owner that holds the pools by its commits and never opens them.
    @Test
    void ownerThatCannotOpenReleasesThePools() throws Exception {
        begin(0);
        assertEquals(1, awaitRelease().unopenedCount());
        assertNotNull(mLosses.poll(LIMIT_SECONDS, TimeUnit.SECONDS), "the ownership ends");
        assertTrue(mMeters.scrape().contains("hyssop_owner_unopened_total 1.0"));
    }

    // Guards against daemons that pass the pools on before any of them can have read their state.
    @Test
    void nextOwnerHasMoreTimeToOpen() throws Exception {
        begin(1);
        long startMillis = mNowMillis.get();
        assertEquals(2, awaitRelease().unopenedCount());
        long ownedMillis = mNowMillis.get() - startMillis;
        assertTrue(ownedMillis >= 2 * OpeningGuard.INITIAL_LIMIT_MILLIS, "owned: " + ownedMillis);
    }

    /** Moves the clock on heartbeat by heartbeat until the ownership is released. */
    private OwnerRow awaitRelease() throws InterruptedException {
        long endMillis = mNowMillis.get() + 10 * OpeningGuard.INITIAL_LIMIT_MILLIS;
        while (mNowMillis.get() < endMillis) {
            mNowMillis.addAndGet(OwnerCommitter.HEARTBEAT_MILLIS);
            OwnerRow row = mTable.nextRow();
            if (row != null && row.released()) {
                return row;
            }
        }
        throw new AssertionError("not released until " + endMillis);
    }

    /** Table that commits the owner's rows and answers no read. */
    private static final class UnreadableTable implements PartitionTable {
        private final BlockingQueue<OwnerRow> mRows = new LinkedBlockingQueue<>();
        private final AtomicLong mVersion = new AtomicLong(1);

        /** Returns the row of the next commit, or null if none is due yet. */
        @Nullable OwnerRow nextRow() throws InterruptedException {
            return mRows.poll(COMMIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            for (Write write : batch.writes()) {
                byte[] value = write.value();
                if (write.name().equals(Schema.OWNER_KEY) && value != null) {
                    try {
                        mRows.add(MessageCodec.decode(value, OwnerRow.class));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }
            }
            return new CompletableFuture<Either<CommitFailure, CommitResult>>()
                    .completeOnTimeout(
                            Either.right(new CommitResult(mVersion.incrementAndGet(), 0)),
                            COMMIT_MILLIS,
                            TimeUnit.MILLISECONDS);
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

    private final class LossListener implements PoolOwnershipListener {
        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {}

        @Override
        public void onCommitsRefused(PoolOwner owner) {}

        @Override
        public void onOwnershipLost(PoolOwner owner, String reason) {
            mLosses.add(reason);
        }
    }

    private static final class UnusedWorkerSource implements WorkerSource {
        @Override
        public String table() {
            return "workers";
        }

        @Override
        public Option<WorkerEntry> decode(PartitionTable.Entry entry) {
            return Option.none();
        }
    }

    private static final class UnusedRunner implements TaskRunner {
        @Override
        public CompletableFuture<StartOutcome> start(TaskStart order, long deadline, long token) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> stop(TaskStop order, long token) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Either<CallError, RunReport>> renew(
                String workerId, String address, Renewal renewal) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> setSpeed(TaskStop run, int percent, long token) {
            return new CompletableFuture<>();
        }
    }

    private static final class UnusedApprovals implements ApprovalDispatcher.ApprovalTransport {
        @Override
        public CompletableFuture<Either<CallError, ApprovalTickets>> requestApproval(
                MemberRow via, ApprovalRequest request, long timeoutMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Boolean> ping(MemberRow member, long timeoutMillis) {
            return new CompletableFuture<>();
        }
    }
}
