package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
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
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PoolOwnerTest {
    private static final String POOL = "pool";
    private static final Room ROOM = new Room(1L << 40, 1L << 40, 0);
    private static final StepSpec STEP =
            new StepSpec(
                    1,
                    new Room(1, 1, 0),
                    1_000,
                    List.of(),
                    false,
                    StepSpec.Limits.NONE,
                    StepSpec.Behavior.PLAIN);

    private final BusyTable mTable = new BusyTable();
    private final WorkflowSettings mSettings =
            new WorkflowSettings(
                    "d", "run", "127.0.0.1:1", new SchedulerLimits(6_000, 900, 2_500), 1_500, 1);
    private final PoolOwner mOwner =
            new PoolOwner(
                    new PoolOwner.Ports(
                            mTable,
                            new IdleWorkerRunner(),
                            new SingleWorkerSource(),
                            new MemberRegistry(
                                    mTable,
                                    mSettings,
                                    (task, delayMillis) -> {},
                                    MonotonicClock.system(),
                                    millis -> {}),
                            new UnansweredApprovals(),
                            MonotonicClock.system(),
                            Clock.systemUTC(),
                            new StoreClock(MonotonicClock.system()),
                            new WorkflowMeters()),
                    mSettings,
                    new IgnoringListener());

    @AfterEach
    void stop() {
        mOwner.stop();
    }

    // Guards against a release that is never committed: with a slow store and a constant flow of
    // new work, each commit finds more to write.
    @Test
    void releasingOwnerMakesNoNewDecisions() throws Exception {
        QueuePolicy.Objective objective = new QueuePolicy.Objective(2, 1_000);
        QueuePolicy queue =
                new QueuePolicy("q", "host", "/q/", POOL, 0, 3, objective, Option.none());
        mOwner.begin(
                new OwnerRow("d", "run", "127.0.0.1:1", 1, 0, false),
                1,
                new PoolConfig(1, List.of(queue), List.of(POOL)));
        PartitionTable.Batch first = mTable.nextCommit();
        mOwner.release();
        awaitJobs();
        mTable.answer(first);
        PartitionTable.Batch second = mTable.nextCommit();
        awaitJobs();
        if (!isRelease(second)) {
            mTable.answer(second);
            second = mTable.nextCommit();
        }
        assertTrue(isRelease(second), "the second commit releases the row at the latest");
    }

    /** Waits until more workflows have arrived than a commit holds. */
    private void awaitJobs() {
        int initialCount = mTable.jobCount();
        await().until(() -> mTable.jobCount() > initialCount + 100);
    }

    private static boolean isRelease(PartitionTable.Batch batch) throws IOException {
        for (PartitionTable.Write write : batch.writes()) {
            byte[] value = write.value();
            if (write.name().equals(Schema.OWNER_KEY) && value != null) {
                return MessageCodec.decode(value, OwnerRow.class).released();
            }
        }
        return false;
    }

    /**
     * Table that returns a new workflow with each read of changes; the test answers its commits.
     */
    private static final class BusyTable implements PartitionTable {
        private final BlockingQueue<Batch> mCommits = new LinkedBlockingQueue<>();
        private final BlockingQueue<CompletableFuture<Either<CommitFailure, CommitResult>>>
                mAnswers = new LinkedBlockingQueue<>();
        private final AtomicInteger mJobCount = new AtomicInteger();

        int jobCount() {
            return mJobCount.get();
        }

        Batch nextCommit() throws InterruptedException {
            Batch batch = mCommits.poll(10, TimeUnit.SECONDS);
            if (batch == null) {
                throw new AssertionError("no commit within 10 s");
            }
            return batch;
        }

        void answer(Batch batch) throws InterruptedException {
            mAnswers.take().complete(Either.right(new CommitResult(batch.hashCode(), 0)));
        }

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            CompletableFuture<Either<CommitFailure, CommitResult>> answer =
                    new CompletableFuture<>();
            if (batch.partition().equals(Schema.POOLS_PARTITION)) {
                mAnswers.add(answer);
                mCommits.add(batch);
            }
            return answer;
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            boolean workers = range.table().equals(SingleWorkerSource.TABLE);
            Entry worker = new Entry(new Key(range.table(), "", "w"), 1, new byte[] {1});
            return page(workers ? List.of(worker) : List.of());
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> pollChanges(
                String table, long after, long waitMillis) {
            if (!table.equals(Schema.JOBS)) {
                return new CompletableFuture<>();
            }
            String id = "job-" + mJobCount.incrementAndGet();
            WorkflowSpec spec =
                    new WorkflowSpec(id, "q", "", List.of(STEP), WorkflowSpec.Schedule.ONCE);
            Key key = new Key(table, Schema.jobPartition(id), id);
            return page(List.of(new Entry(key, mJobCount.get(), MessageCodec.encode(spec))));
        }

        @Override
        public CompletableFuture<Either<TableError, List<String>>> listPartitions(String table) {
            return new CompletableFuture<>();
        }

        private static CompletableFuture<Either<TableError, Page>> page(List<Entry> entries) {
            return CompletableFuture.completedFuture(
                    Either.right(new Page(entries, false, 1, System.nanoTime() / 1_000_000)));
        }
    }

    /** Lists a single worker. */
    private static final class SingleWorkerSource implements WorkerSource {
        static final String TABLE = "workers";

        @Override
        public String table() {
            return TABLE;
        }

        @Override
        public Option<WorkerEntry> decode(PartitionTable.Entry entry) {
            return Option.some(
                    new WorkerEntry("w", POOL, "w:1", "d", "r", List.of(), ROOM, false, 0, 0, 1));
        }
    }

    /** Answers each renewal after 20 ms with a report of an idle worker. */
    private static final class IdleWorkerRunner implements TaskRunner {
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
            RunReport report =
                    new RunReport(System.nanoTime() / 1_000_000, 1, List.of(), List.of());
            return CompletableFuture.supplyAsync(
                    () -> Either.right(report),
                    CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS));
        }

        @Override
        public CompletableFuture<Boolean> setSpeed(TaskStop run, int percent, long token) {
            return new CompletableFuture<>();
        }
    }

    private static final class UnansweredApprovals implements ApprovalDispatcher.ApprovalTransport {
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

    private static final class IgnoringListener implements PoolOwnershipListener {
        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {}

        @Override
        public void onCommitsRefused(PoolOwner owner) {}

        @Override
        public void onOwnershipLost(PoolOwner owner, String reason) {}
    }
}
