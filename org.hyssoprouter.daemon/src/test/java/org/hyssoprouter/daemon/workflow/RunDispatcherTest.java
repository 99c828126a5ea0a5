package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.transport.TaskRunner;
import org.junit.jupiter.api.Test;

class RunDispatcherTest {
    private static final long EPOCH = 1;

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final PoolScheduler mScheduler = mFixture.scheduler();
    private boolean mConfirmed = true;
    private final ManualRunner mRunner = new ManualRunner();
    private final RunDispatcher mDispatcher =
            new RunDispatcher(
                    mScheduler,
                    mRunner,
                    new DirectExecutor(),
                    () -> SchedulerFixture.NOW_MILLIS,
                    new IgnoringListener(),
                    () -> mConfirmed,
                    new OwnerLoadMonitor(() -> SchedulerFixture.NOW_MILLIS, new WorkflowMeters()));

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final RunDispatcher mDelayedDispatcher =
            new RunDispatcher(
                    mScheduler,
                    mRunner,
                    mThread,
                    mThread,
                    new IgnoringListener(),
                    () -> mConfirmed,
                    new OwnerLoadMonitor(mThread, new WorkflowMeters()));

    @Test
    void startIsNotSentAfterCancellation() {
        TaskStart order = mFixture.placeTask();
        mScheduler.cancelWorkflow(SchedulerFixture.WORKFLOW, SchedulerFixture.NOW_MILLIS);
        mDispatcher.sendStart(order, EPOCH);
        assertEquals(0, mRunner.mStarts.size());
    }

    @Test
    void startIsNotRetriedAfterCancellation() {
        TaskStart order = mFixture.placeTask();
        mDispatcher.sendStart(order, EPOCH);
        assertEquals(1, mRunner.mStarts.size());
        mScheduler.cancelWorkflow(SchedulerFixture.WORKFLOW, SchedulerFixture.NOW_MILLIS);
        mRunner.mStarts.get(0).complete(StartOutcome.UNKNOWN);
        assertEquals(1, mRunner.mStarts.size());
    }

    @Test
    void unansweredStartIsRetried() {
        mDispatcher.sendStart(mFixture.placeTask(), EPOCH);
        mRunner.mStarts.get(0).complete(StartOutcome.UNKNOWN);
        assertEquals(2, mRunner.mStarts.size());
    }

    // Guards against a start that a former owner repeats to a worker which has seen no token.
    @Test
    void unansweredStartIsNotRepeatedWithoutConfirmedOwnership() {
        mDispatcher.sendStart(mFixture.placeTask(), EPOCH);
        mConfirmed = false;
        mRunner.mStarts.get(0).complete(StartOutcome.UNKNOWN);
        assertEquals(1, mRunner.mStarts.size());
        assertEquals(1, mScheduler.output().takeStops().size(), "the task is not forgotten");
    }

    @Test
    void unsentStartIsNotRepeatedWithoutConfirmedOwnership() {
        TaskStart order = mFixture.placeTask();
        sendDelayed(order);
        mConfirmed = false;
        answerLast(StartOutcome.NOT_SENT);
        assertEquals(List.of(order), mRunner.mOrders);
        mFixture.report(mThread.millis());
        mScheduler.place(mThread.millis());
        assertEquals(1, mScheduler.output().takeStarts().size(), "the task is not forgotten");
    }

    // Guards against gangs that are aborted because a start waited too long on this host.
    @Test
    void startThatWasNotSentIsSentAgain() {
        TaskStart order = mFixture.placeTask();
        sendDelayed(order);
        answerLast(StartOutcome.NOT_SENT);
        assertEquals(List.of(order, order), mRunner.mOrders);
        answerLast(StartOutcome.ACCEPTED);
        assertEquals(2, mRunner.mOrders.size());
    }

    // Guards against placement that stops because starts count as unanswered forever.
    @Test
    void startThatEndsWithAnExceptionIsAnswered() {
        sendDelayed(mFixture.placeTask());
        for (int i = 0; i < mRunner.mStarts.size(); i++) {
            mRunner.mStarts.get(i).completeExceptionally(new IllegalStateException("simulated"));
            mThread.advance(100);
        }
        assertEquals(0, mDelayedDispatcher.unansweredStartCount());
    }

    // Guards against two active runs of a task whose first attempt may have arrived.
    @Test
    void unsentRepeatLeavesTheOutcomeOfTheFirstAttemptOpen() {
        TaskStart order = mFixture.placeTask();
        sendDelayed(order);
        answerLast(StartOutcome.UNKNOWN);
        answerLast(StartOutcome.NOT_SENT);
        answerLast(StartOutcome.NOT_SENT);
        assertEquals(1, mScheduler.output().takeStops().size());
    }

    @Test
    void startIsUnansweredUntilItsLastAttemptEnds() {
        sendDelayed(mFixture.placeTask());
        answerLast(StartOutcome.NOT_SENT);
        assertEquals(1, mDelayedDispatcher.unansweredStartCount());
        answerLast(StartOutcome.ACCEPTED);
        assertEquals(0, mDelayedDispatcher.unansweredStartCount());
    }

    @Test
    void unsentStartIsNotRepeatedAfterCancellation() {
        TaskStart order = mFixture.placeTask();
        sendDelayed(order);
        mScheduler.cancelWorkflow(SchedulerFixture.WORKFLOW, SchedulerFixture.NOW_MILLIS);
        answerLast(StartOutcome.NOT_SENT);
        assertEquals(1, mRunner.mOrders.size());
    }

    // Guards against idle workers that are excluded for delays on the owner's host.
    @Test
    void workerThatReportedMeanwhileIsUsedAfterUnsentStart() {
        sendDelayed(mFixture.placeTask());
        mFixture.report(mThread.millis());
        answerAllAttempts(StartOutcome.NOT_SENT);
        mScheduler.place(mThread.millis());
        assertEquals(1, mScheduler.output().takeStarts().size());
    }

    // Guards against repeated placement on a worker that cannot be reached.
    @Test
    void workerWithoutReportIsExcludedAfterUnsentStartUntilItReports() {
        TaskStart order = mFixture.placeTask();
        sendDelayed(order);
        answerAllAttempts(StartOutcome.NOT_SENT);
        mScheduler.place(mThread.millis());
        assertEquals(0, mScheduler.output().takeStarts().size());
        mFixture.report(mThread.millis());
        mScheduler.place(mThread.millis());
        assertEquals(1, mScheduler.output().takeStarts().size());
    }

    /** Sends a start a while after its placement, through a dispatcher that runs delayed tasks. */
    private void sendDelayed(TaskStart order) {
        mThread.advance(SchedulerFixture.NOW_MILLIS + 100);
        mDelayedDispatcher.sendStart(order, EPOCH);
    }

    private void answerLast(StartOutcome outcome) {
        mRunner.mStarts.get(mRunner.mStarts.size() - 1).complete(outcome);
        mThread.advance(100);
    }

    private void answerAllAttempts(StartOutcome outcome) {
        int count;
        do {
            count = mRunner.mStarts.size();
            answerLast(outcome);
        } while (mRunner.mStarts.size() > count);
    }

    /** Leaves each start unanswered until the test completes its outcome. */
    private static final class ManualRunner implements TaskRunner {
        final List<CompletableFuture<StartOutcome>> mStarts = new ArrayList<>();
        final List<TaskStart> mOrders = new ArrayList<>();

        @Override
        public CompletableFuture<StartOutcome> start(TaskStart order, long deadline, long token) {
            CompletableFuture<StartOutcome> outcome = new CompletableFuture<>();
            mStarts.add(outcome);
            mOrders.add(order);
            return outcome;
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

    private static final class IgnoringListener implements RunDispatcher.Listener {
        @Override
        public void onAnswerHandled() {}

        @Override
        public void onOwnershipLost(String reason) {}
    }
}
