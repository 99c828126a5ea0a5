package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.TaskRunner;
import org.junit.jupiter.api.Test;

class WorkerPollerTest {
    private static final SchedulerLimits LIMITS = new SchedulerLimits(6_000, 900, 2_500);

    private long mNowMillis = 1_000;
    private boolean mUnresponsive;
    private List<RunReport.Ended> mEnds = List.of();

    /** Whether calls stay open; the last one is {@link #mOpenCall}. */
    private boolean mSilent;

    private CompletableFuture<Either<CallError, RunReport>> mOpenCall = new CompletableFuture<>();
    private final List<String> mClosedAddresses = new ArrayList<>();
    private final List<TaskRunner.Renewal> mRenewals = new ArrayList<>();
    private final PoolScheduler mScheduler = new PoolScheduler(LIMITS, 0);
    private final OwnerCommitter mCommitter =
            new OwnerCommitter(
                    new AnsweringTable(),
                    mScheduler,
                    new DirectExecutor(),
                    () -> mNowMillis,
                    new IgnoringListener(),
                    new PoolOwnershipConfirmation(() -> mNowMillis, Clock.systemUTC()),
                    new OwnerLoadMonitor(() -> SchedulerFixture.NOW_MILLIS, new WorkflowMeters()),
                    WorkflowSettings.DEFAULT_MAX_ROW_BYTES);
    private final WorkerPoller mPoller =
            new WorkerPoller(
                    mScheduler,
                    mCommitter,
                    new TestRunner(),
                    new DirectExecutor(),
                    () -> mNowMillis,
                    LIMITS,
                    new IgnoringListener());

    @Test
    void leaseOfUnresponsiveWorkerIsNotRenewed() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mScheduler.updateWorker(
                new WorkerEntry("w", "pool", "w:1", "d", "r", List.of(), Room.NONE, false, 0, 0, 1),
                mNowMillis);
        mPoller.start();
        advance(300);
        assertTrue(last().deadlineMillis() > 0, "a responsive worker gets a lease");
        mUnresponsive = true;
        advance(300);
        int renewalCount = mRenewals.size();
        for (int i = 0; i < 8; i++) {
            advance(300);
        }
        assertTrue(mRenewals.size() > renewalCount, "an unresponsive worker is polled again");
        mRenewals
                .subList(renewalCount, mRenewals.size())
                .forEach(renewal -> assertEquals(0, renewal.deadlineMillis()));
    }

    // Guards against workers that stay excluded for the length of a poll after a late answer.
    @Test
    void unresponsiveWorkerIsAskedToReportAtOnce() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        mScheduler.updateWorker(
                new WorkerEntry("w", "pool", "w:1", "d", "r", List.of(), Room.NONE, false, 0, 0, 1),
                mNowMillis);
        mPoller.start();
        advance(300);
        assertTrue(last().waitMillis() > 0, "a responsive worker may wait for the end of a run");
        mUnresponsive = true;
        advance(300);
        advance(300);
        assertEquals(0, last().waitMillis());
    }

    // Guards against runs whose loss is noticed only when a call to a former incarnation times out.
    @Test
    void restartedWorkerIsAskedToReportAtOnce() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        list(1);
        mPoller.start();
        mSilent = true;
        advance(10);
        int renewalCount = mRenewals.size();
        advance(10);
        assertEquals(renewalCount, mRenewals.size(), "a call is open");
        list(2);
        advance(10);
        assertEquals(renewalCount + 1, mRenewals.size());
        assertEquals(0, last().waitMillis());
        advance(10);
        assertEquals(renewalCount + 1, mRenewals.size());
    }

    // Guards against a worker that counts as silent because its former incarnation is.
    @Test
    void callToFormerIncarnationHasNoEffectWhenItFails() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        list(1);
        mPoller.start();
        mSilent = true;
        advance(10);
        CompletableFuture<Either<CallError, RunReport>> former = mOpenCall;
        list(2);
        advance(10);
        former.complete(Either.left(CallError.mayHaveRun(CallError.Kind.TIMEOUT, "timeout")));
        int renewalCount = mRenewals.size();
        mOpenCall.complete(Either.right(new RunReport(mNowMillis, 2, List.of(), List.of())));
        advance(10);
        assertEquals(renewalCount + 1, mRenewals.size(), "the next call is not delayed");
        assertTrue(last().deadlineMillis() > 0, "the worker counts as responsive");
    }

    // Guards against a restarted worker that is asked on connections to its former incarnation.
    @Test
    void idleConnectionsToRestartedWorkerAreClosedOnce() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        list(1);
        mPoller.start();
        mSilent = true;
        advance(10);
        assertEquals(List.of(), mClosedAddresses);
        list(2);
        advance(10);
        advance(10);
        assertEquals(List.of("w:1"), mClosedAddresses);
    }

    // Guards against ends of a new incarnation that an acknowledgement to the former one reaches.
    @Test
    void noEndIsAcknowledgedToAWorkerThatDidNotAnswer() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 1, 0, false), 1);
        list(1);
        TaskKey task = new TaskKey(new StepKey("unknown", 0, 0), 0);
        mEnds = List.of(new RunReport.Ended(7, task, 1, EndKind.DONE, ""));
        mPoller.start();
        mNowMillis += OwnerCommitter.HEARTBEAT_MILLIS;
        mCommitter.commitIfDue();
        advance(1_000);
        assertEquals(7, last().acknowledged());
        mUnresponsive = true;
        advance(300);
        advance(300);
        assertEquals(0, last().acknowledged());
        mUnresponsive = false;
        advance(300);
        advance(300);
        assertEquals(7, last().acknowledged());
    }

    private void list(long incarnation) {
        mScheduler.updateWorker(
                new WorkerEntry(
                        "w",
                        "pool",
                        "w:1",
                        "d",
                        "r",
                        List.of(),
                        Room.NONE,
                        false,
                        0,
                        0,
                        incarnation),
                mNowMillis);
    }

    private TaskRunner.Renewal last() {
        return mRenewals.get(mRenewals.size() - 1);
    }

    private void advance(long millis) {
        mNowMillis += millis;
        mPoller.pollDueWorkers();
    }

    /** Answers or fails immediately; while the worker responds, each fourth call fails. */
    private final class TestRunner implements TaskRunner {
        private int mAnswerCount;

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
            mRenewals.add(renewal);
            if (mSilent) {
                mOpenCall = new CompletableFuture<>();
                return mOpenCall;
            }
            if (mUnresponsive) {
                return CompletableFuture.completedFuture(
                        Either.left(CallError.mayHaveRun(CallError.Kind.TIMEOUT, "timeout")));
            }
            if (++mAnswerCount > 3) {
                mAnswerCount = 0;
                return CompletableFuture.completedFuture(
                        Either.left(CallError.mayHaveRun(CallError.Kind.TIMEOUT, "timeout")));
            }
            return CompletableFuture.completedFuture(
                    Either.right(new RunReport(mNowMillis, 1, List.of(), mEnds)));
        }

        @Override
        public void closeIdleConnections(String address) {
            mClosedAddresses.add(address);
        }

        @Override
        public CompletableFuture<Boolean> setSpeed(TaskStop run, int percent, long token) {
            return new CompletableFuture<>();
        }
    }

    /** Carries out each commit at once. */
    private static final class AnsweringTable extends UnansweredTable {
        private long mVersion = 1;

        @Override
        public CompletableFuture<Either<CommitFailure, CommitResult>> commit(Batch batch) {
            return CompletableFuture.completedFuture(Either.right(new CommitResult(++mVersion, 0)));
        }
    }

    private static final class IgnoringListener
            implements OwnerCommitter.Listener, WorkerPoller.Listener {
        @Override
        public void onCommitsRefused() {}

        @Override
        public void onStartsDurable(List<TaskStart> starts) {}

        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {}

        @Override
        public void onEndsDurable() {}

        @Override
        public void onOwnershipLost(String reason) {}

        @Override
        public void onReleased() {}

        @Override
        public void onReportHandled() {}
    }
}
