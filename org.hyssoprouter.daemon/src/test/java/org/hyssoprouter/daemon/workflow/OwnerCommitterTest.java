package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;

class OwnerCommitterTest {
    private long mNowMillis = SchedulerFixture.NOW_MILLIS;
    private int mRefusedCount;
    private int mLostCount;
    private final List<TaskStart> mDurableStarts = new ArrayList<>();
    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final PoolScheduler mScheduler = mFixture.scheduler();
    private final ManualTable mTable = new ManualTable();
    private final PoolOwnershipConfirmation mConfirmation =
            new PoolOwnershipConfirmation(() -> mNowMillis, Clock.systemUTC());
    private final OwnerCommitter mCommitter =
            new OwnerCommitter(
                    mTable,
                    mScheduler,
                    new RepeatingExecutor(),
                    () -> mNowMillis,
                    new IgnoringListener(),
                    mConfirmation,
                    new OwnerLoadMonitor(() -> SchedulerFixture.NOW_MILLIS, new WorkflowMeters()),
                    WorkflowSettings.DEFAULT_MAX_ROW_BYTES);

    // Guards against acknowledging the end of a run before the row of its workflow is written.
    @Test
    void endIsDurableOnlyWithRowOfItsWorkflow() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        TaskStart order = mFixture.placeTask();
        mCommitter.commitIfDue();
        mTable.answer();
        mScheduler.handleStartOutcome(order, StartOutcome.ACCEPTED, mNowMillis);
        mNowMillis += OwnerCommitter.HEARTBEAT_MILLIS;
        RunReport.Ended end = new RunReport.Ended(1, order.task(), order.run(), EndKind.DONE, "");
        RunReport report = new RunReport(mNowMillis, 1, List.of(), List.of(end));
        mScheduler.handleReport(SchedulerFixture.WORKER, report, mNowMillis, mNowMillis);
        mCommitter.commitIfDue();
        assertTrue(mTable.wrote(SchedulerFixture.WORKFLOW), "the commit holds the ended workflow");
        mTable.answer();
        assertEquals(1, mCommitter.durableEndSequence(SchedulerFixture.WORKER));
    }

    // Guards against ends that never become durable while workflows change faster than they are
    // written.
    @Test
    void endsBecomeDurableDuringLastingBacklog() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mFixture.addWorker(new Room(1_000_000, 1_000_000, 0));
        submitAndPlace("first", 1);
        mCommitter.commitIfDue();
        mTable.answer();
        TaskKey task = new TaskKey(new StepKey("first0", 0, 0), 0);
        RunReport.Ended end = new RunReport.Ended(1, task, 1, EndKind.DONE, "");
        mScheduler.handleReport(
                SchedulerFixture.WORKER,
                new RunReport(mNowMillis, 1, List.of(), List.of(end)),
                mNowMillis,
                mNowMillis);
        for (int commit = 0; commit < 4; commit++) {
            submitAndPlace("more" + commit + "-", 100);
            mCommitter.commitIfDue();
            mTable.answer();
        }
        assertEquals(1, mCommitter.durableEndSequence(SchedulerFixture.WORKER));
    }

    // Guards against starts that wait behind other changes until their tickets have expired.
    @Test
    void startsAreCommittedBeforeOtherChanges() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mFixture.addWorker(new Room(1_000_000, 1_000_000, 0));
        for (int i = 0; i < 300; i++) {
            mFixture.submit("cancelled" + i);
            mScheduler.cancelWorkflow("cancelled" + i, mNowMillis);
        }
        submitAndPlace("new", 1);
        mCommitter.commitIfDue();
        assertTrue(mTable.wrote("new0"), "the first commit holds the start");
        assertTrue(mTable.wrote("cancelled0"), "the first commit holds earlier changes");
        assertTrue(mTable.lastEntryCount() <= 100, "entries: " + mTable.lastEntryCount());
    }

    // Fault: the store refuses this daemon alone.
    @Test
    void refusedCommitsAreReportedOnce() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mNowMillis += OwnerCommitter.HEARTBEAT_MILLIS;
        mCommitter.commitIfDue();
        for (int i = 0; i < 6; i++) {
            mNowMillis += 100;
            mTable.refuse();
        }
        assertEquals(1, mRefusedCount);
    }

    // Guards against orders of a former owner to a worker that has restarted and seen no token:
    // the peers that were asked take over before the owner's timeout.
    @Test
    void ownershipIsUnconfirmedOncePeersWereAskedToTakeOver() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mNowMillis += OwnerCommitter.HEARTBEAT_MILLIS;
        mCommitter.commitIfDue();
        while (mRefusedCount == 0) {
            assertTrue(mConfirmation.isConfirmed());
            mNowMillis += 100;
            mTable.refuse();
        }
        assertFalse(mConfirmation.isConfirmed());
        mNowMillis += 100;
        mTable.answer();
        assertTrue(mConfirmation.isConfirmed());
    }

    // Guards against the same after a release whose answer is late: others take over at once.
    @Test
    void ownershipIsUnconfirmedOnceItsReleaseIsSent() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        assertTrue(mConfirmation.isConfirmed());
        mCommitter.release();
        assertFalse(mConfirmation.isConfirmed());
    }

    // Fault: the store is slow for all, so that another owner would fare no better.
    @Test
    void unansweredCommitsAreNotRefused() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mNowMillis += OwnerCommitter.HEARTBEAT_MILLIS;
        mCommitter.commitIfDue();
        for (int i = 0; i < 4; i++) {
            mNowMillis += CommitRefusals.MAX_REFUSAL_MILLIS + 1;
            mTable.refuse();
        }
        assertEquals(0, mRefusedCount);
    }

    // Load pattern: a store so slow that each commit is full. Callers wait for results.
    @Test
    void finishedWorkflowsAreCommittedBeforeStarts() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mFixture.addWorker(new Room(1_000_000, 1_000_000, 0));
        submitAndPlace("new", CommitRows.MAX_STARTING_WORKFLOWS);
        mFixture.submit("finished");
        mScheduler.cancelWorkflow("finished", mNowMillis);
        mCommitter.commitIfDue();
        assertTrue(mTable.wrote("finished"), "the first commit holds the finished workflow");
        assertTrue(mTable.wrote("new0"), "the first commit holds starts, too");
    }

    // The first start and the state that it leads to become durable together.
    @Test
    void workflowIsActiveWithTheRowOfItsFirstStart() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        TaskStart order = mFixture.placeTask();
        mCommitter.commitIfDue();
        assertEquals(List.of(WorkflowState.ACTIVE), mTable.statesOf(SchedulerFixture.WORKFLOW));
        mTable.answer();
        assertEquals(1, mScheduler.queued().counts().get("batch"), "no run has begun yet");
        mScheduler.handleStartOutcome(order, StartOutcome.ACCEPTED, mNowMillis);
        assertEquals(0, mScheduler.queued().counts().get("batch"));
        assertEquals(0, mScheduler.output().takeChangedWorkflows().size());
    }

    // Load pattern: a slow store. Runs that are placed early wait with tickets that expire.
    @Test
    void runsArePlacedShortlyBeforeTheEndOfASlowCommit() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mNowMillis += OwnerCommitter.HEARTBEAT_MILLIS;
        mCommitter.commitIfDue();
        assertEquals(0, mCommitter.expectedCommitMillis(), "no duration is known yet");
        mNowMillis += 750;
        // The next heartbeat is due by then.
        mTable.answer();
        assertEquals(750, mCommitter.expectedCommitMillis());
        mNowMillis += 600;
        assertEquals(150, mCommitter.expectedCommitMillis());
    }

    // Guards against placements that are committed too late: the owner stops placing runs.
    @Test
    void noFurtherStartsFitWhileTheyExceedOneCommit() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mFixture.addWorker(new Room(1_000_000, 1_000_000, 0));
        submitAndPlace("a", 3 * CommitRows.MAX_STARTING_WORKFLOWS);
        mCommitter.commitIfDue();
        assertEquals(0, mCommitter.remainingStartingWorkflows());
        mTable.answer();
        mTable.answer();
        assertEquals(CommitRows.MAX_STARTING_WORKFLOWS, mCommitter.remainingStartingWorkflows());
    }

    // Guards against the start of a former owner at a worker that has restarted and seen no token:
    // while the answer was on its way, or the process was frozen, another daemon has taken over.
    @Test
    void startIsSentOnlyOnceALaterCommitHasConfirmedTheOwnership() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mFixture.addWorker(new Room(1_000_000, 1_000_000, 0));
        commitHeartbeat(10);
        commitHeartbeat(10);
        submitAndPlace("new", 1);
        mCommitter.commitIfDue();
        mNowMillis += Election.OWNER_TIMEOUT_MILLIS + 100;
        mTable.answer();
        assertEquals(List.of(), mDurableStarts);
        mNowMillis += 10;
        mTable.answer();
        assertEquals(1, mDurableStarts.size());
    }

    @Test
    void startIsNotSentAfterAnotherDaemonHasTakenOver() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mFixture.addWorker(new Room(1_000_000, 1_000_000, 0));
        commitHeartbeat(10);
        commitHeartbeat(10);
        submitAndPlace("new", 1);
        mCommitter.commitIfDue();
        mNowMillis += 3_000;
        mTable.answer();
        mTable.conflict();
        assertEquals(1, mLostCount);
        assertEquals(List.of(), mDurableStarts);
    }

    // Guards against an owner that starts nothing in a slow store: others wait longer for it there.
    @Test
    void startsAreSentInAStoreThatIsSlowAllTheTime() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mFixture.addWorker(new Room(1_000_000, 1_000_000, 0));
        commitHeartbeat(1_700);
        commitHeartbeat(1_700);
        mFixture.report(mNowMillis);
        submitAndPlace("new", 1);
        mNowMillis += 1_700;
        mTable.answer();
        mNowMillis += 1_700;
        mTable.answer();
        assertEquals(1, mDurableStarts.size());
    }

    private void commitHeartbeat(long durationMillis) {
        mNowMillis += OwnerCommitter.HEARTBEAT_MILLIS;
        mCommitter.commitIfDue();
        mNowMillis += durationMillis;
        mTable.answer();
    }

    private void submitAndPlace(String prefix, int count) {
        for (int i = 0; i < count; i++) {
            mFixture.submit(prefix + i);
        }
        mScheduler.place(mNowMillis);
    }

    /** Runs delayed tasks at once, too. */
    private static final class RepeatingExecutor extends DirectExecutor {
        @Override
        public void schedule(Runnable task, long delayMillis) {
            task.run();
        }
    }

    /** Table that answers a commit when the test calls answer(). */
    private static final class ManualTable implements PartitionTable {
        private final List<Batch> mBatches = new ArrayList<>();
        private CompletableFuture<Either<CommitFailure, CommitResult>> mPendingCommit =
                new CompletableFuture<>();

        void answer() {
            CompletableFuture<Either<CommitFailure, CommitResult>> pending = mPendingCommit;
            mPendingCommit = new CompletableFuture<>();
            pending.complete(Either.right(new CommitResult(mBatches.size() + 1, 0)));
        }

        void refuse() {
            CompletableFuture<Either<CommitFailure, CommitResult>> pending = mPendingCommit;
            mPendingCommit = new CompletableFuture<>();
            pending.complete(
                    Either.left(new CommitFailure(TableError.unavailable("refused"), List.of())));
        }

        void conflict() {
            CompletableFuture<Either<CommitFailure, CommitResult>> pending = mPendingCommit;
            mPendingCommit = new CompletableFuture<>();
            pending.complete(
                    Either.left(new CommitFailure(TableError.conflict("owner"), List.of())));
        }

        /** Returns the states of a workflow that were written, in order. */
        List<WorkflowState> statesOf(String id) {
            List<WorkflowState> states = new ArrayList<>();
            for (Batch batch : mBatches) {
                for (Write write : batch.writes()) {
                    byte[] value = write.value();
                    if (write.table().equals(Schema.STATES)
                            && write.name().equals(id)
                            && value != null) {
                        states.add(Schema.decodeState(value).state());
                    }
                }
            }
            return states;
        }

        /** Returns the number of checks and writes of the last commit. */
        int lastEntryCount() {
            Batch last = mBatches.get(mBatches.size() - 1);
            return last.checks().size() + last.writes().size();
        }

        /** Returns whether the last commit wrote a row of that name. */
        boolean wrote(String name) {
            Batch last = mBatches.get(mBatches.size() - 1);
            return last.writes().stream().anyMatch(write -> write.name().equals(name));
        }

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            mBatches.add(batch);
            return mPendingCommit;
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

    private final class IgnoringListener implements OwnerCommitter.Listener {
        @Override
        public void onStartsDurable(List<TaskStart> starts) {
            mDurableStarts.addAll(starts);
        }

        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {}

        @Override
        public void onEndsDurable() {}

        @Override
        public void onOwnershipLost(String reason) {
            mLostCount++;
        }

        @Override
        public void onCommitsRefused() {
            mRefusedCount++;
        }

        @Override
        public void onReleased() {}
    }
}
