package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.transport.TaskRunner;
import org.junit.jupiter.api.Test;

class RunOrdersTest {
    private static final long NOW_MILLIS = 1_000;
    private static final long EPOCH = 1;

    private final PoolScheduler mScheduler =
            new PoolScheduler(new SchedulerLimits(6_000, 900, 2_500), 0);
    private final Runner mRunner = new Runner();
    private final RunOrders mOrders =
            new RunOrders(
                    mScheduler,
                    mRunner,
                    new DirectTasks(),
                    () -> NOW_MILLIS,
                    new Ignored(),
                    new WorkflowMeters());

    @Test
    void aStartIsNotSentAfterTheCancellationOfItsWorkflow() {
        TaskStart order = placed();
        mScheduler.cancelled("a", NOW_MILLIS);
        mOrders.start(order, EPOCH);
        assertEquals(0, mRunner.mStarts.size());
    }

    @Test
    void aStartIsNotRepeatedAfterTheCancellationOfItsWorkflow() {
        TaskStart order = placed();
        mOrders.start(order, EPOCH);
        assertEquals(1, mRunner.mStarts.size());
        mScheduler.cancelled("a", NOW_MILLIS);
        mRunner.mStarts.get(0).complete(StartOutcome.UNKNOWN);
        assertEquals(1, mRunner.mStarts.size());
    }

    @Test
    void aStartWithoutAnAnswerIsRepeated() {
        mOrders.start(placed(), EPOCH);
        mRunner.mStarts.get(0).complete(StartOutcome.UNKNOWN);
        assertEquals(2, mRunner.mStarts.size());
    }

    /** Returns the order of the only task of workflow {@code a}. */
    private TaskStart placed() {
        QueuePolicy queue =
                new QueuePolicy(
                        "batch",
                        "host",
                        "/batch/",
                        "pool",
                        0,
                        3,
                        new QueuePolicy.Objective(2, 1_000),
                        Option.none());
        mScheduler.configure(new PoolConfig(1, List.of(queue), List.of("pool")));
        Room room = new Room(1_000, 1, 0);
        mScheduler.listed(
                new WorkerEntry("w", "pool", "w:1", "d", "r", List.of(), room, false, 0, 0, 1),
                NOW_MILLIS);
        RunReport report = new RunReport(NOW_MILLIS, 1, List.of(), List.of());
        mScheduler.reported("w", report, NOW_MILLIS, NOW_MILLIS);
        StepSpec step =
                new StepSpec(
                        1,
                        room,
                        500,
                        List.of(),
                        false,
                        StepSpec.Limits.NONE,
                        StepSpec.Habits.PLAIN);
        mScheduler.submitted(
                new WorkflowSpec("a", "batch", "", List.of(step), WorkflowSpec.Schedule.ONCE),
                NOW_MILLIS);
        mScheduler.place(NOW_MILLIS);
        return mScheduler.effects().takeStarts().get(0);
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
        public CompletableFuture<Boolean> pace(TaskStop run, int percent, long token) {
            return new CompletableFuture<>();
        }
    }

    private static final class Ignored implements RunOrders.Listener {
        @Override
        public void answered() {}

        @Override
        public void lost(String reason) {}
    }
}
