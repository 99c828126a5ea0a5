package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.PeerTransport;
import org.junit.jupiter.api.Test;

/** States that callers see while a daemon's copy of the states is old or was never read. */
class StateOfOldCopyTest {
    private static final String ID = "00000000000000a1";

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final LimitedTable mTable = new LimitedTable();
    private final Map<String, ForwardingWorkflowService> mDaemons = new HashMap<>();

    private WorkflowStateCache newCache(PartitionTable table) {
        return new WorkflowStateCache(
                table, new LocalWorkflowServiceTest.IgnoringListener(), mThread, Clock.systemUTC());
    }

    private LocalWorkflowService newService(PartitionTable table, WorkflowStateCache states) {
        return new LocalWorkflowService(
                new LocalWorkflowService.Ports(
                        table,
                        mThread,
                        mThread,
                        new WorkflowMeters(),
                        WorkflowSettings.DEFAULT_MAX_ROW_BYTES),
                states,
                millis -> {});
    }

    private static WorkflowStatus status(WorkflowState state) {
        return new WorkflowStatus(state, "");
    }

    private void putState(WorkflowState state) {
        mTable.put(
                Schema.STATES,
                Schema.POOLS_PARTITION,
                ID,
                state.name().getBytes(StandardCharsets.UTF_8));
    }

    private StateResult stateAt(LocalWorkflowService service) {
        CompletableFuture<StateResult> state = service.state(ID, "");
        mThread.advance(0);
        return state.join();
    }

    // A read of the job that is answered after the start was published is the older one.
    @Test
    void lateReadOfJobDoesNotShowStartedWorkflowAsPending() {
        mTable.put(
                Schema.JOBS,
                Schema.jobPartition(ID),
                ID,
                Schema.encodeJob(SchedulerFixture.workflow(ID, 2, false)));
        WorkflowStateCache states = newCache(mTable);
        mTable.afterRead(() -> states.recordState(ID, status(WorkflowState.ACTIVE)));
        assertEquals(StateResult.of(WorkflowState.ACTIVE), stateAt(newService(mTable, states)));
    }

    // The answer of a submission may come after the owner has started the workflow.
    @Test
    void lateAnswerOfSubmissionDoesNotShowStartedWorkflowAsPending() {
        WorkflowStateCache states = newCache(mTable);
        mTable.afterCommit(() -> states.recordState(ID, status(WorkflowState.ACTIVE)));
        WorkflowSpec spec = SchedulerFixture.workflow(ID, 2, false);
        CompletableFuture<SubmitResult> result = newService(mTable, states).submit(spec, 1);
        mThread.advance(500);
        assertEquals(SubmitResult.DONE, result.join());
        assertEquals(Option.some(status(WorkflowState.ACTIVE)), states.statusOf(ID));
    }

    // The owner's own daemon learns of an end from the commit, while a scan is under way.
    @Test
    void scanThatBeganBeforeTheEndDoesNotReopenWorkflow() {
        putState(WorkflowState.ACTIVE);
        WorkflowStateCache states = newCache(mTable);
        mTable.afterRead(() -> states.recordState(ID, status(WorkflowState.COMPLETE)));
        states.start();
        await().until(() -> states.storeClock().millis() != StoreClock.UNKNOWN);
        states.stop();
        assertEquals(Option.some(status(WorkflowState.COMPLETE)), states.statusOf(ID));
    }

    @Test
    void stateThatWasNotReadLatelyIsReadFromStore() {
        WorkflowStateCache states = newCache(mTable);
        states.recordState(ID, status(WorkflowState.ACTIVE));
        putState(WorkflowState.COMPLETE);
        assertEquals(StateResult.of(WorkflowState.COMPLETE), stateAt(newService(mTable, states)));
    }

    // All daemons have restarted, and none has read the states yet.
    @Test
    void finishedWorkflowIsNotPendingBeforeStatesAreRead() {
        mTable.put(Schema.JOBS, Schema.jobPartition(ID), ID, Schema.finishedRow(""));
        putState(WorkflowState.COMPLETE);
        LocalWorkflowService service = newService(mTable, newCache(mTable));
        assertEquals(StateResult.of(WorkflowState.COMPLETE), stateAt(service));
    }

    @Test
    void stateThatWasNotReadLatelyIsUnknownWhileStoreIsSilent() {
        PartitionTable silent =
                new UnansweredTable() {
                    @Override
                    public CompletableFuture<Either<TableError, Page>> read(Range range) {
                        return CompletableFuture.completedFuture(
                                Either.left(TableError.unavailable("timeout")));
                    }
                };
        WorkflowStateCache states = newCache(silent);
        LocalWorkflowService service = newService(silent, states);
        states.recordState(ID, status(WorkflowState.ACTIVE));
        assertEquals(StateResult.unknown(), stateAt(service));
        states.recordState(ID, status(WorkflowState.COMPLETE));
        assertEquals(StateResult.of(WorkflowState.COMPLETE), stateAt(service));
    }

    // The store rejects two of three daemons; the third one knows the state.
    @Test
    void peerWithOldCopyDoesNotAnswerForOthers() {
        PartitionTable unanswered = new UnansweredTable();
        ForwardingWorkflowService entry = startDaemon("entry", unanswered, WorkflowState.ACTIVE);
        startDaemon("cut", unanswered, WorkflowState.ACTIVE);
        startDaemon("fresh", mTable, WorkflowState.COMPLETE);
        // The peers are called in random order.
        for (int i = 0; i < 50; i++) {
            CompletableFuture<StateResult> state = entry.state(ID, "");
            mThread.advance(0);
            assertEquals(StateResult.of(WorkflowState.COMPLETE), state.join(), "call " + i);
        }
    }

    private ForwardingWorkflowService startDaemon(
            String name, PartitionTable table, WorkflowState known) {
        WorkflowStateCache states = newCache(table);
        states.recordState(ID, status(known));
        UnreachablePeers unreachable = new UnreachablePeers(mThread);
        MemberRow self = member(name);
        List<MemberRow> others =
                List.of(member("entry"), member("cut"), member("fresh")).stream()
                        .filter(it -> !it.equals(self))
                        .toList();
        ForwardingWorkflowService service =
                new ForwardingWorkflowService(
                        newService(table, states),
                        new SubmissionGrouping(List::of, self, unreachable, mThread),
                        () -> name.equals("fresh"),
                        () -> others,
                        unreachable,
                        new Peers(),
                        mThread);
        mDaemons.put(name, service);
        return service;
    }

    private static MemberRow member(String name) {
        return new MemberRow(name, "run", name, 1);
    }

    /** Carries calls to the services of the other daemons. */
    private final class Peers implements PeerTransport {
        @Override
        public CompletableFuture<Either<CallError, byte[]>> call(
                String address,
                int type,
                TrafficClass trafficClass,
                byte[] payload,
                long timeoutMillis) {
            return Objects.requireNonNull(mDaemons.get(address), address)
                    .serve(payload)
                    .thenApply(Either::right);
        }
    }
}
