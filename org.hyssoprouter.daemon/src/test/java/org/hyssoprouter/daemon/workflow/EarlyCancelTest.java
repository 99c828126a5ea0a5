package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;

/** Cancellations that are acknowledged before the submission of their workflow takes effect. */
class EarlyCancelTest {
    private static final String ID = "1a2b3c4d5e6f7a8b";
    private static final long SHORT_MILLIS = 500;

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final LimitedTable mTable = new LimitedTable();
    private final StoreClock mStoreClock = new StoreClock(mThread);
    private PoolScheduler mScheduler = newScheduler();
    private PendingChanges mChanges = newChanges();
    private AcceptedWorkflows mOwner = newOwner();
    private Map<PartitionTable.Key, Long> mReadVersions = new HashMap<>();

    private static PoolScheduler newScheduler() {
        return new PoolScheduler(new SchedulerLimits(6_000, 900, 2_500), 0);
    }

    private PendingChanges newChanges() {
        return new PendingChanges(mScheduler, mThread, LimitedTable.MAX_ROW_BYTES);
    }

    private AcceptedWorkflows newOwner() {
        mStoreClock.recordReading(1 + mThread.millis());
        return new AcceptedWorkflows(
                mScheduler,
                mChanges,
                new EarlyCancels(mTable, mThread, mThread, mStoreClock),
                mThread,
                mThread,
                mStoreClock,
                new IgnoringListener());
    }

    private void takeOver() {
        mScheduler = newScheduler();
        mChanges = newChanges();
        mOwner = newOwner();
        mReadVersions = new HashMap<>();
    }

    private LocalWorkflowService newDaemon() {
        LocalWorkflowService.Ports ports =
                new LocalWorkflowService.Ports(
                        mTable, mThread, mThread, new WorkflowMeters(), LimitedTable.MAX_ROW_BYTES);
        WorkflowStateCache states =
                new WorkflowStateCache(mTable, new NoOwner(), mThread, Clock.systemUTC());
        states.storeClock().recordReading(1 + mThread.millis());
        return new LocalWorkflowService(ports, states, millis -> {});
    }

    private WorkflowService.CancelResult cancel(LocalWorkflowService daemon, String workspace) {
        CompletableFuture<WorkflowService.CancelResult> result = daemon.cancel(ID, workspace);
        mThread.advance(SHORT_MILLIS);
        return result.join();
    }

    private void submit(LocalWorkflowService daemon, String workspace) {
        CompletableFuture<SubmitResult> result = daemon.submit(spec(workspace), 1);
        mThread.advance(SHORT_MILLIS);
        assertEquals(Verdict.RAN, result.join().verdict());
    }

    private static WorkflowSpec spec(String workspace) {
        return SchedulerFixture.workflow(ID, 2, false).inWorkspace(workspace);
    }

    /** Passes the rows that are new to the owner, and the deletions. */
    private void follow() {
        JobRowReader reader = new JobRowReader(mOwner);
        Map<PartitionTable.Key, Long> present = new HashMap<>();
        for (PartitionTable.Entry row : mTable.rows(Schema.JOBS)) {
            present.put(row.key(), row.version());
            if (!Long.valueOf(row.version()).equals(mReadVersions.get(row.key()))) {
                reader.onRow(row);
            }
        }
        for (PartitionTable.Key key : mReadVersions.keySet()) {
            if (!present.containsKey(key)) {
                reader.onRow(new PartitionTable.Entry(key, 1, null));
            }
        }
        mReadVersions = present;
        mThread.advance(0);
    }

    private WorkflowState state() {
        return mScheduler.row(ID).map(WorkflowRow::state).getOrElse(WorkflowState.PENDING);
    }

    private void sweep() {
        for (int i = 0; i < 4; i++) {
            mThread.advance(EarlyCancels.SWEEP_INTERVAL_MILLIS);
            mOwner.deleteExpiredCancels();
            mThread.advance(0);
            follow();
        }
    }

    // Guards against a job that runs though its cancelling was answered: its submission waited at
    // a frozen daemon, or a copy of it came later.
    @Test
    void submissionAfterAnAcknowledgedCancelDoesNotRun() {
        LocalWorkflowService daemon = newDaemon();
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(daemon, ""));
        follow();
        for (LocalWorkflowService other : List.of(newDaemon(), daemon, newDaemon())) {
            submit(other, "");
        }
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
        assertEquals(0, mScheduler.waitingStepCount());
        assertEquals(Map.of("batch", 0), mScheduler.queued().counts());
    }

    // Fault: the store carries the submission out between the read and the write of the
    // cancelling, or after it, while the owner reads the rows in any order.
    @Test
    void submissionThatOvertakesTheCancelDoesNotRun() {
        submit(newDaemon(), "");
        follow();
        assertEquals(WorkflowState.PENDING, state());
        LimitedTable former = new LimitedTable();
        LocalWorkflowService late =
                new LocalWorkflowService(
                        new LocalWorkflowService.Ports(
                                former, mThread, mThread, new WorkflowMeters(), 65_536),
                        new WorkflowStateCache(former, new NoOwner(), mThread, Clock.systemUTC()),
                        millis -> {});
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(late, ""));
        for (PartitionTable.Entry row : former.rows(Schema.JOBS)) {
            byte[] value = Objects.requireNonNull(row.value());
            assertTrue(Schema.isEarlyCancelKey(row.key().name()));
            mTable.put(Schema.JOBS, row.key().partition(), row.key().name(), value);
        }
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
    }

    // Guards against a cancelling without effect: the workflow is stored and its state read while
    // its row is looked for.
    @Test
    void workflowThatIsStoredDuringItsCancelIsCancelled() {
        LocalWorkflowService daemon = newDaemon();
        mTable.afterRead(() -> daemon.recordAccepted(spec("a")));
        assertEquals(WorkflowService.CancelResult.DONE, cancel(daemon, "a"));
        submit(newDaemon(), "a");
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
    }

    // Fault: the partition of the workflow does not answer, so that its row is in the other one.
    @Test
    void submissionInTheOtherPartitionDoesNotRun() {
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(newDaemon(), ""));
        byte[] row = Schema.encodeJob(spec(""));
        mTable.put(Schema.JOBS, Schema.fallbackJobPartition(ID), ID, row);
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
    }

    // Fault: the owner is lost between the cancelling and the submission.
    @Test
    void nextOwnerKnowsTheCancel() {
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(newDaemon(), ""));
        follow();
        takeOver();
        submit(newDaemon(), "");
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
        takeOver();
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
    }

    // Guards against callers who cancel workflows of others before they are submitted.
    @Test
    void cancelOfAnotherWorkspaceDecidesNothing() {
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(newDaemon(), "b"));
        // One is read before the submission, the other one after it.
        follow();
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(newDaemon(), ""));
        submit(newDaemon(), "a");
        follow();
        assertEquals(WorkflowState.PENDING, state());
        // Nor does it hide a later one of the workspace itself.
        assertEquals(WorkflowService.CancelResult.DONE, cancel(newDaemon(), "a"));
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
    }

    @Test
    void cancelsOfTwoWorkspacesAreKeptBoth() {
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(newDaemon(), "a"));
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(newDaemon(), "b"));
        submit(newDaemon(), "a");
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
    }

    // Guards against a job that is shown though nobody has submitted it.
    @Test
    void cancelledWorkflowThatWasNotSubmittedDoesNotExist() {
        LocalWorkflowService daemon = newDaemon();
        cancel(daemon, "");
        for (LocalWorkflowService other : List.of(daemon, newDaemon())) {
            CompletableFuture<StateResult> state = other.state(ID, "");
            mThread.advance(SHORT_MILLIS);
            assertEquals(StateResult.absent(), state.join());
        }
        follow();
        assertEquals(0, mScheduler.workflowCount());
        assertEquals(Map.of(), mScheduler.queued().counts());
        assertTrue(mChanges.isEmpty());
    }

    // Guards against an acknowledgement of a cancelling that is not durable.
    @Test
    void cancelThatIsNotDurableIsNotAcknowledged() {
        mTable.refuse((write, commit) -> TableError.unavailable("store is down"));
        assertEquals(WorkflowService.CancelResult.UNKNOWN, cancel(newDaemon(), ""));
        mTable.refuse((write, commit) -> null);
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(newDaemon(), ""));
    }

    // Guards against rows that grow with the cancels of identifiers that nobody has submitted.
    @Test
    void cancelsAreDeletedAndCostFewWrites() {
        LocalWorkflowService daemon = newDaemon();
        for (int i = 0; i < 50; i++) {
            CompletableFuture<WorkflowService.CancelResult> cancelled =
                    daemon.cancel("%016x".formatted(i), "");
            mThread.advance(1);
            assertEquals(WorkflowService.CancelResult.ABSENT, cancelled.join());
        }
        int commits = mTable.commitCount();
        for (int i = 0; i < 10; i++) {
            cancel(daemon, "");
        }
        assertEquals(commits + 1, mTable.commitCount(), "repeats are not written");
        List<CompletableFuture<WorkflowService.CancelResult>> cancels = new ArrayList<>();
        for (int i = 0; i < 140; i++) {
            cancels.add(daemon.cancel("%016x".formatted(i), ""));
        }
        mThread.advance(SHORT_MILLIS);
        cancels.forEach(it -> assertEquals(WorkflowService.CancelResult.ABSENT, it.join()));
        assertEquals(141, mTable.rows(Schema.JOBS).size());
        follow();
        sweep();
        assertEquals(141, mTable.rows(Schema.JOBS).size(), "kept for a while");
        mThread.advance(EarlyCancels.RETENTION_MILLIS);
        takeOver();
        follow();
        sweep();
        assertEquals(List.of(), mTable.rows(Schema.JOBS));
        submit(newDaemon(), "");
        follow();
        assertEquals(WorkflowState.PENDING, state());
    }

    // Guards against cancels of arbitrary identifiers that fill the store; they are told to return.
    @Test
    void floodOfCancelsIsBounded() {
        LocalWorkflowService daemon = newDaemon();
        List<CompletableFuture<WorkflowService.CancelResult>> cancels = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            cancels.add(daemon.cancel("%016x".formatted(i), ""));
        }
        mThread.advance(SHORT_MILLIS);
        assertEquals(EarlyCancelLimiter.BURST, mTable.rows(Schema.JOBS).size());
        long acknowledged =
                cancels.stream()
                        .filter(it -> it.join() == WorkflowService.CancelResult.ABSENT)
                        .count();
        assertEquals(EarlyCancelLimiter.BURST, acknowledged);
        mThread.advance(10_000);
        assertEquals(WorkflowService.CancelResult.ABSENT, cancel(daemon, ""));
    }

    // Guards against a deletion that overtakes a repeated cancelling.
    @Test
    void repeatedCancelIsKeptForItsOwnTime() {
        cancel(newDaemon(), "");
        follow();
        mThread.advance(EarlyCancels.RETENTION_MILLIS - 10_000);
        cancel(newDaemon(), "");
        mThread.advance(20_000);
        // The owner has not read the repeat yet.
        mOwner.deleteExpiredCancels();
        mThread.advance(0);
        follow();
        submit(newDaemon(), "");
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
    }

    // Guards against a job that a next owner runs, as its cancelling was deleted before its state
    // was durable.
    @Test
    void cancelIsKeptUntilTheStateOfItsWorkflowIsDurable() {
        cancel(newDaemon(), "");
        follow();
        submit(newDaemon(), "");
        follow();
        assertEquals(WorkflowState.CANCELLED, state());
        mThread.advance(EarlyCancels.RETENTION_MILLIS);
        sweep();
        assertEquals(2, mTable.rows(Schema.JOBS).size());
        mChanges.rows().recordPublishedState(ID, WorkflowState.CANCELLED);
        sweep();
        assertEquals(1, mTable.rows(Schema.JOBS).size());
        assertNotEquals(WorkflowState.PENDING, state());
    }

    private static final class IgnoringListener implements AcceptedWorkflows.Listener {
        @Override
        public void onWorkflowsChanged() {}

        @Override
        public void onWorkflowsRead() {}
    }

    private static final class NoOwner implements WorkflowStateCache.OwnerListener {
        @Override
        public void onOwnerRow(Option<OwnerRow> row, long version) {}

        @Override
        public void onSynced(long storeMillis) {}

        @Override
        public void onReadFailed() {}
    }
}
