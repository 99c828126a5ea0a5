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

    private final SchedulerFixture mPlaced = new SchedulerFixture();
    private final PoolScheduler mScheduler = mPlaced.scheduler();
    private final Runner mRunner = new Runner();
    private final RunDispatcher mOrders =
            new RunDispatcher(
                    mScheduler,
                    mRunner,
                    new DirectExecutor(),
                    () -> SchedulerFixture.NOW_MILLIS,
                    new Ignored(),
                    new WorkflowMeters());

    @Test
    void aStartIsNotSentAfterTheCancellationOfItsWorkflow() {
        TaskStart order = mPlaced.placeTask();
        mScheduler.cancelWorkflow(SchedulerFixture.WORKFLOW, SchedulerFixture.NOW_MILLIS);
        mOrders.sendStart(order, EPOCH);
        assertEquals(0, mRunner.mStarts.size());
    }

    @Test
    void aStartIsNotRepeatedAfterTheCancellationOfItsWorkflow() {
        TaskStart order = mPlaced.placeTask();
        mOrders.sendStart(order, EPOCH);
        assertEquals(1, mRunner.mStarts.size());
        mScheduler.cancelWorkflow(SchedulerFixture.WORKFLOW, SchedulerFixture.NOW_MILLIS);
        mRunner.mStarts.get(0).complete(StartOutcome.UNKNOWN);
        assertEquals(1, mRunner.mStarts.size());
    }

    @Test
    void aStartWithoutAnAnswerIsRepeated() {
        mOrders.sendStart(mPlaced.placeTask(), EPOCH);
        mRunner.mStarts.get(0).complete(StartOutcome.UNKNOWN);
        assertEquals(2, mRunner.mStarts.size());
    }

    /** Keeps the starts that it was asked for open. */
    private static final class Runner implements TaskRunner {
        final List<CompletableFuture<StartOutcome>> mStarts = new ArrayList<>();

        @Override
        public CompletableFuture<StartOutcome> start(TaskStart order, long deadline, long token) {
            CompletableFuture<StartOutcome> answer = new CompletableFuture<>();
            mStarts.add(answer);
            return answer;
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

    private static final class Ignored implements RunDispatcher.Listener {
        @Override
        public void onAnswerHandled() {}

        @Override
        public void onOwnershipLost(String reason) {}
    }
}
