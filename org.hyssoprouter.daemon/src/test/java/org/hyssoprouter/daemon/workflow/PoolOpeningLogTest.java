package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PoolOpeningLogTest {
    private static final int POOLS_OPENED = 5103;
    private static final String WORKERS = "workers";
    private static final WorkflowRow.TaskRow ORDERED =
            new WorkflowRow.TaskRow(0, 1, 0, false, "w", "", 0, List.of(), 0, 0);
    private static final List<WorkflowRow.StepRow> STEPS =
            List.of(new WorkflowRow.StepRow(0, 0, 0, "", List.of(ORDERED), 0));

    private final RecordedLog mLog = new RecordedLog(PoolOwner.class);
    private final FormerTable mTable = new FormerTable();
    private final WorkflowSettings mSettings =
            new WorkflowSettings(
                    "d", "run", "127.0.0.1:1", new SchedulerLimits(6_000, 900, 2_500), 1_500, 1);
    private final PoolOwner mOwner =
            new PoolOwner(
                    new PoolOwner.Ports(
                            mTable,
                            new UnansweredRunner(),
                            new EmptyWorkerSource(),
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
        mLog.close();
    }

    // Guards against begun and waiting workflows that a new owner mixes up without a trace of it.
    @Test
    void newOwnerTellsHowManyWorkflowsWaitAndMayHaveBegun() {
        mOwner.begin(
                new OwnerRow("d", "run", "127.0.0.1:1", 4, 0, false),
                1,
                new PoolConfig(1, List.of(), List.of()));
        await().until(() -> !mLog.linesOf(POOLS_OPENED).isEmpty());
        String line = mLog.lastOf(POOLS_OPENED);
        assertTrue(line.contains(" epoch=4 workflows=3 "), line);
        assertTrue(line.endsWith(" waiting=2 unsettled=1"), line);
    }

    /** Table with a new workflow, one whose first run was ordered, and one that has begun. */
    private static final class FormerTable extends UnansweredTable {
        private static Entry entry(Range range, String name, byte[] value) {
            return new Entry(new Key(range.table(), range.partition(), name), 1, value);
        }

        private static WorkflowRow activeRow(boolean begun) {
            return new WorkflowRow(
                    "batch",
                    WorkflowState.ACTIVE,
                    List.of(),
                    STEPS,
                    "",
                    begun,
                    List.of(),
                    List.of());
        }

        private static List<Entry> entries(Range range) {
            if (range.table().equals(Schema.RUNS)) {
                return List.of(
                        entry(range, "begun", MessageCodec.encode(activeRow(true))),
                        entry(range, "ordered", MessageCodec.encode(activeRow(false))));
            }
            return List.of("begun", "new", "ordered").stream()
                    .filter(id -> range.table().equals(Schema.JOBS))
                    .filter(id -> Schema.jobPartition(id).equals(range.partition()))
                    .map(id -> entry(range, id, encodedJob(id)))
                    .toList();
        }

        private static byte[] encodedJob(String id) {
            return Schema.encodeJob(SchedulerFixture.workflow(id, 1, false));
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            Page page = new Page(entries(range), false, 1, System.nanoTime() / 1_000_000);
            return CompletableFuture.completedFuture(Either.right(page));
        }
    }

    private static final class EmptyWorkerSource implements WorkerSource {
        @Override
        public String table() {
            return WORKERS;
        }

        @Override
        public Option<WorkerEntry> decode(PartitionTable.Entry entry) {
            return Option.none();
        }
    }

    private static final class UnansweredRunner implements TaskRunner {
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
