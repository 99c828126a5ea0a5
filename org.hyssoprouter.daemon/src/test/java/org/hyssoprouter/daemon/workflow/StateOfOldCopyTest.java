package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;

/** States that callers see while a daemon's copy of the states is old or was never read. */
class StateOfOldCopyTest {
    private static final String ID = "00000000000000a1";

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final LimitedTable mTable = new LimitedTable();

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

    // The owner's own daemon hears of an end from the commit, while a scan is under way.
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
}
