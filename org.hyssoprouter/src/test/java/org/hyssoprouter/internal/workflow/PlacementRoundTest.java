package org.hyssoprouter.internal.workflow;

import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.step;
import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.workflow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlacementRoundTest {
    private static final int WORKERS = 10;
    private static final int OVERLOAD_MILLIS = 20_000;

    /** Interval between two tasks: twice as many as the workers can run. */
    private static final int ARRIVAL_INTERVAL_MILLIS = 12;

    private final SimulatedPool mPool = new SimulatedPool();

    @AfterEach
    void noInvariantWasViolated() {
        assertEquals(List.of(), mPool.violations());
    }

    // Guards against a backlog of approval requests that reserves room which nobody uses.
    @Test
    void overloadedPoolKeepsItsPaceAndRecovers() {
        mPool.addQueue(
                SimulatedQueues.queue("q", 0, 3, new QueuePolicy.ApprovalPolicy(80, 0.2, 2_000)),
                0.5);
        mPool.approvalCalls().limit(8);
        for (int i = 0; i < WORKERS; i++) {
            mPool.addWorker("w" + i, 4_000);
        }
        mPool.advance(200);
        int count = OVERLOAD_MILLIS / ARRIVAL_INTERVAL_MILLIS;
        for (int i = 0; i < count; i++) {
            String id = "a" + i;
            mPool.at(
                    (long) i * ARRIVAL_INTERVAL_MILLIS,
                    () -> mPool.submit(workflow(id, "q", step(1, 2_000, 480, false))));
        }
        mPool.advance(OVERLOAD_MILLIS);
        int capacity = OVERLOAD_MILLIS / (2 * ARRIVAL_INTERVAL_MILLIS);
        int started = mPool.startCount();
        assertTrue(started > capacity * 0.7, "started " + started + " of " + capacity);
        mPool.advance(OVERLOAD_MILLIS * 2);
        long complete =
                IntStream.range(0, count)
                        .filter(i -> mPool.stateOf("a" + i) == WorkflowState.COMPLETE)
                        .count();
        assertEquals(count, complete);
    }

    private static PoolScheduler schedulerOf(int workers, long cpuMillis) {
        PoolScheduler scheduler = TestPools.newOwner(0);
        for (int i = 0; i < workers; i++) {
            scheduler.updateWorker(TestPools.worker("w" + i, 1, cpuMillis), 0);
            scheduler.handleReport("w" + i, new RunReport(0, 1, List.of(), List.of()), 0, 0);
        }
        return scheduler;
    }

    private static Set<String> startedIn(PoolScheduler scheduler, RoundLimits limits, int rounds) {
        Set<String> started = new TreeSet<>();
        for (int round = 0; round < rounds; round++) {
            scheduler.place(limits, 10);
            scheduler
                    .output()
                    .takeStarts()
                    .forEach(start -> started.add(start.task().step().workflow()));
        }
        return started;
    }

    // Guards against jobs with millions of tasks that take all starts of each round, so that small
    // ones wait beside free workers. Each round has as many starts as were answered since the last
    // one.
    @Test
    void smallWorkStartsBesideWorkWithMillionsOfTasks() {
        PoolScheduler scheduler = schedulerOf(10, 1_000_000);
        for (int i = 0; i < 50; i++) {
            scheduler.addWorkflow(
                    workflow("wide" + i, TestPools.QUEUE, step(5_000_000, 1, 500, false)), 0);
        }
        for (int i = 0; i < 20; i++) {
            scheduler.addWorkflow(
                    workflow("small" + i, TestPools.QUEUE, step(1, 1_000, 500, false)), 1);
        }
        RoundLimits limits = new RoundLimits(5, 20, 0, 0, new RoundLimits.Reserved(10, 64));
        Set<String> started = startedIn(scheduler, limits, 20);
        assertEquals(20, started.stream().filter(it -> it.startsWith("small")).count());
        assertEquals(50, started.stream().filter(it -> it.startsWith("wide")).count());
    }

    // Guards against starts that are left unused as they are reserved for others.
    @Test
    void singleWideStepGetsAllStarts() {
        PoolScheduler scheduler = schedulerOf(10, 1_000_000);
        scheduler.addWorkflow(workflow("a", TestPools.QUEUE, step(5_000_000, 1, 500, false)), 0);
        scheduler.place(new RoundLimits(42, 200, 0, 0, new RoundLimits.Reserved(10, 64)), 10);
        assertEquals(200, scheduler.output().takeStarts().size());
    }

    // Guards against an owner that runs out of memory as there is room for hundreds of thousands of
    // tiny tasks, and against gangs of them that keep others from starting.
    @Test
    void ownerHoldsABoundedNumberOfRuns() {
        PoolScheduler scheduler = schedulerOf(10, 1_000_000);
        StepSpec gang = step(RoundQueue.MAX_ACTIVE_RUNS + 1, 1, 500, true);
        scheduler.addWorkflow(workflow("gang", TestPools.QUEUE, gang), 0);
        scheduler.addWorkflow(workflow("small", TestPools.QUEUE, step(1, 1, 500, false)), 0);
        for (int i = 0; i < 3; i++) {
            scheduler.addWorkflow(
                    workflow("wide" + i, TestPools.QUEUE, step(5_000_000, 1, 500, false)), 1);
        }
        int started = 0;
        for (int round = 0; round < 300; round++) {
            scheduler.place(10);
            started += scheduler.output().takeStarts().size();
            assertTrue(started <= RoundQueue.MAX_ACTIVE_RUNS);
        }
        assertEquals(RoundQueue.MAX_ACTIVE_RUNS, started);
        assertEquals(WorkflowState.ACTIVE, scheduler.row("small").get().state());
        assertEquals(WorkflowState.PENDING, scheduler.row("gang").get().state());
    }

    // Guards against rounds whose time grows with the work that has no room: other daemons then
    // take
    // the owner for dead.
    @Test
    void roundLooksAtABoundedNumberOfWorkers() {
        PoolState state = new PoolState(SimulatedPool.LIMITS, 0, ObjectiveOrder::new);
        state.configure(TestPools.config(2));
        int workers = 100;
        for (int i = 0; i < workers; i++) {
            PoolWorker worker = TestPools.reportedWorker("w" + i);
            state.mWorkers.put(worker.mId, worker);
        }
        int waiting = 10_000;
        for (int i = 0; i <= waiting; i++) {
            boolean fits = i == waiting;
            WorkflowSpec spec =
                    workflow("a" + i, TestPools.QUEUE, step(1, fits ? 1_000 : 5_000, 500, false));
            Workflow workflow = new Workflow(spec, i);
            state.addWorkflow(workflow);
            state.queueReadySteps(workflow.mOccurrences.open(0), workflow.roots(), 0);
        }
        int rounds = 0;
        while (state.mOutput.takeStarts().isEmpty()) {
            PlacementRound round = new PlacementRound(state, RoundLimits.NONE, 10);
            round.run();
            assertTrue(round.visitedWorkers() <= RoundQueue.MAX_VISITED_WORKERS + workers);
            rounds++;
            assertTrue(rounds <= 4, "started in round " + rounds);
        }
    }
}
