package org.hyssoprouter.daemon.workflow;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;
import org.hyssoprouter.transport.PartitionTable;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class LocalWorkflowServiceTest {
    private static final String ID = "00000000000000a1";
    private static final WorkflowSpec SPEC =
            new WorkflowSpec(ID, "queue", "", List.of(), WorkflowSpec.Schedule.ONCE);
    private static final long CALLER_TIMEOUT_MILLIS = 3_000;

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final PartlySilentTable mTable = new PartlySilentTable();

    @Test
    void submissionIsAcceptedWhileItsPartitionIsSilent() {
        mTable.mSilentPartitions = List.of(Schema.jobPartition(ID));
        CompletableFuture<SubmitResult> result = newService().submit(SPEC, 1);
        mThread.advance(CALLER_TIMEOUT_MILLIS / 2);
        assertTrue(result.isDone(), "another partition answers");
        assertEquals(Verdict.RAN, result.join().verdict());
        CompletableFuture<StateResult> state = newService().state(ID, "");
        mThread.advance(CALLER_TIMEOUT_MILLIS);
        assertEquals(Option.some(WorkflowState.PENDING), state.join().state());
    }

    @Test
    void unansweredSubmissionGetsItsVerdictBeforeCallersGiveUp() {
        mTable.mSilentPartitions = Schema.jobPartitions();
        LocalWorkflowService service = newService();
        CompletableFuture<SubmitResult> first = service.submit(SPEC, 1);
        mThread.advance(100);
        CompletableFuture<SubmitResult> second = service.submit(SPEC, 1);
        mThread.advance(CALLER_TIMEOUT_MILLIS - 300);
        assertEquals(Verdict.MAY_HAVE_RUN, first.join().verdict());
        assertTrue(second.isDone(), "second call has a verdict");
    }

    @Test
    void stateIsUnknownWhileOnePartitionIsSilent() {
        for (String silent : List.of(Schema.jobPartition(ID), Schema.fallbackJobPartition(ID))) {
            mTable.mSilentPartitions = List.of(silent);
            CompletableFuture<StateResult> state = newService().state(ID, "");
            mThread.advance(CALLER_TIMEOUT_MILLIS);
            assertEquals(StateResult.unknown(), state.join());
        }
    }

    // Guards against a finished workflow that is shown as pending by a daemon that knows no states
    // yet: its row says only that it has finished.
    @Test
    void finishedWorkflowIsNotShownAsPendingBeforeTheStatesAreRead() {
        putRow(Schema.JOBS, Schema.jobPartition(ID), Schema.finishedRow("a"));
        assertEquals(StateResult.unknown(), stateOf("a"));
        putRow(Schema.STATES, Schema.POOLS_PARTITION, new byte[] {'?'});
        assertEquals(StateResult.unknown(), stateOf("a"));
        for (WorkflowState state :
                List.of(WorkflowState.COMPLETE, WorkflowState.FAILED, WorkflowState.CANCELLED)) {
            putRow(
                    Schema.STATES,
                    Schema.POOLS_PARTITION,
                    Schema.encodeState(new WorkflowStatus(state, "a")));
            assertEquals(StateResult.of(state), stateOf("a"));
            assertEquals(StateResult.absent(), stateOf("b"));
        }
        mTable.mSilentPartitions = List.of(Schema.POOLS_PARTITION);
        assertEquals(StateResult.unknown(), stateOf("a"));
    }

    // Guards against a workflow that is shown though nobody submitted it: a row in the store's
    // answer that has no value, or one of another writer.
    @Test
    void rowThatIsNoWorkflowIsNotShownAsOne() {
        byte[][] values = {
            null, {}, {(byte) 0xc0}, {(byte) 0x90}, {1, 2, 3}, "text".getBytes(UTF_8)
        };
        for (byte[] value : values) {
            putRow(Schema.JOBS, Schema.jobPartition(ID), value);
            assertEquals(StateResult.unknown(), stateOf(""), Arrays.toString(value));
        }
    }

    private void putRow(String table, String partition, byte @Nullable [] value) {
        PartitionTable.Key key = new PartitionTable.Key(table, partition, ID);
        mTable.mEntries.put(key.toString(), new PartitionTable.Entry(key, 1, value));
    }

    /** Returns the answer of a daemon that has read no states. */
    private StateResult stateOf(String workspace) {
        CompletableFuture<StateResult> state = newService().state(ID, workspace);
        mThread.advance(CALLER_TIMEOUT_MILLIS);
        return state.join();
    }

    @Test
    void workflowOfOtherWorkspaceIsNeitherSeenNorChanged() {
        LocalWorkflowService accepting = newService();
        CompletableFuture<SubmitResult> accepted = accepting.submit(SPEC.inWorkspace("a"), 1);
        mThread.advance(100);
        assertEquals(Verdict.RAN, accepted.join().verdict());
        // The second one knows the workflow from its row only.
        for (LocalWorkflowService service : List.of(accepting, newService())) {
            CompletableFuture<SubmitResult> other = service.submit(SPEC.inWorkspace("b"), 1);
            CompletableFuture<SubmitResult> repeat = service.submit(SPEC.inWorkspace("a"), 1);
            CompletableFuture<WorkflowService.CancelResult> cancelled = service.cancel(ID, "b");
            mThread.advance(CALLER_TIMEOUT_MILLIS);
            assertEquals(SubmitResult.ID_IN_USE, other.join());
            assertEquals(SubmitResult.DONE, repeat.join());
            assertEquals(WorkflowService.CancelResult.ABSENT, cancelled.join());
            assertEquals(StateResult.absent(), service.state(ID, "b").join());
            assertEquals(StateResult.absent(), service.state(ID, "").join());
            assertTrue(service.state(ID, "a").join().state().isDefined());
        }
        assertEquals(1, mTable.mEntries.size(), "rows of the workflow");
    }

    // A quota may be lowered after a workflow was accepted; its repeat is still answered
    // truthfully.
    @Test
    void workflowThatNeverFitsIsRefusedButRepeatOfAcceptedOneIsNot() {
        WorkspaceGate gate = new WorkspaceGate();
        LocalWorkflowService service =
                new LocalWorkflowService(
                        new LocalWorkflowService.Ports(
                                mTable,
                                mThread,
                                mThread,
                                new WorkflowMeters(),
                                WorkflowSettings.DEFAULT_MAX_ROW_BYTES),
                        new WorkflowStateCache(
                                mTable, new IgnoringListener(), mThread, Clock.systemUTC()),
                        millis -> {},
                        gate);
        StepSpec step =
                new StepSpec(
                        3,
                        new Room(1_000, 1, 0),
                        100,
                        List.of(),
                        true,
                        StepSpec.Limits.NONE,
                        StepSpec.Behavior.PLAIN);
        WorkflowSpec gang =
                new WorkflowSpec(ID, "q", "", List.of(step), WorkflowSpec.Schedule.ONCE)
                        .inWorkspace("a");
        gate.configure(config(3_000));
        CompletableFuture<SubmitResult> accepted = service.submit(gang, 1);
        mThread.advance(100);
        assertEquals(Verdict.RAN, accepted.join().verdict());
        gate.configure(config(2_000));
        assertEquals(SubmitResult.DONE, service.submit(gang, 1).join());
        WorkflowSpec other =
                new WorkflowSpec("b", "q", "", List.of(step), WorkflowSpec.Schedule.ONCE)
                        .inWorkspace("a");
        SubmitResult refused = service.submit(other, 1).join();
        assertEquals(Verdict.NOT_RUN, refused.verdict());
        assertTrue(refused.overLimit());
        assertEquals(1, mTable.mEntries.size(), "rows of the workflows");
    }

    private static PoolConfig config(long quotaCpuMillis) {
        Room quota = new Room(quotaCpuMillis, Long.MAX_VALUE, Integer.MAX_VALUE);
        return new PoolConfig(
                1, List.of(), List.of(), List.of(new WorkspacePolicy("a", 1, quota, List.of())));
    }

    private LocalWorkflowService newService() {
        return new LocalWorkflowService(
                new LocalWorkflowService.Ports(
                        mTable,
                        mThread,
                        mThread,
                        new WorkflowMeters(),
                        WorkflowSettings.DEFAULT_MAX_ROW_BYTES),
                new WorkflowStateCache(mTable, new IgnoringListener(), mThread, Clock.systemUTC()),
                millis -> {});
    }

    /** Table of which some partitions answer no call. */
    private final class PartlySilentTable implements PartitionTable {
        private static final long COMMIT_TIMEOUT_MILLIS = 1_300;
        private static final long READ_TIMEOUT_MILLIS = 900;

        private final Map<String, Entry> mEntries = new TreeMap<>();
        private List<String> mSilentPartitions = List.of();

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            CompletableFuture<Either<CommitFailure, CommitResult>> result =
                    new CompletableFuture<>();
            if (mSilentPartitions.contains(batch.partition())) {
                CommitFailure failure = new CommitFailure(TableError.unknown("timeout"), List.of());
                mThread.schedule(
                        () -> result.complete(Either.left(failure)), COMMIT_TIMEOUT_MILLIS);
                return result;
            }
            List<Entry> present = new ArrayList<>();
            for (Check check : batch.checks()) {
                Key key = new Key(check.table(), batch.partition(), check.name());
                Option.of(mEntries.get(key.toString())).forEach(present::add);
            }
            if (!present.isEmpty()) {
                result.complete(
                        Either.left(new CommitFailure(TableError.conflict("row"), present)));
                return result;
            }
            for (Write write : batch.writes()) {
                Key key = new Key(write.table(), batch.partition(), write.name());
                mEntries.put(key.toString(), new Entry(key, 1, write.value()));
            }
            result.complete(Either.right(new CommitResult(1, 0)));
            return result;
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            CompletableFuture<Either<TableError, Page>> result = new CompletableFuture<>();
            if (mSilentPartitions.contains(range.partition())) {
                TableError error = TableError.unavailable("timeout");
                mThread.schedule(() -> result.complete(Either.left(error)), READ_TIMEOUT_MILLIS);
                return result;
            }
            Key key = new Key(range.table(), range.partition(), range.from());
            List<Entry> found = Option.of(mEntries.get(key.toString())).toJavaList();
            result.complete(Either.right(new Page(found, false, 1, 0)));
            return result;
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

    static final class IgnoringListener implements WorkflowStateCache.OwnerListener {
        @Override
        public void onOwnerRow(Option<OwnerRow> row, long version) {}

        @Override
        public void onSynced(long storeMillis) {}

        @Override
        public void onReadFailed() {}
    }
}
