package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

/** Gangs, and other wide steps, that have no room. */
class WideGangTest {
    private static final int MAX_GANG_TASKS = 100_000;
    private static final int MAX_WAITING = 1_024;

    private final PoolState mState = new PoolState(SimulatedPool.LIMITS, 0, ObjectiveOrder::new);
    private final List<PoolWorker> mWorkers = new ArrayList<>();

    private void addWorkers(int count) {
        mState.configure(TestPools.config(2));
        for (int i = 0; i < count; i++) {
            PoolWorker worker = TestPools.reportedWorker("w" + i);
            mState.mWorkers.put(worker.mId, worker);
            mWorkers.add(worker);
        }
    }

    private Step submit(String id, StepSpec spec) {
        Workflow workflow = new Workflow(PoolSchedulerTest.workflow(id, TestPools.QUEUE, spec), 0);
        mState.addWorkflow(workflow);
        Occurrence occurrence = workflow.mOccurrences.open(0);
        mState.queueReadySteps(occurrence, workflow.roots(), 0);
        return occurrence.hold(0);
    }

    private static StepSpec gang(int tasks, Integer... after) {
        return PoolSchedulerTest.step(tasks, 1_000, 20, true, after);
    }

    private static SimulatedPool pool(int workers, OverloadPolicy policy) {
        SimulatedPool pool =
                new SimulatedPool(
                        ObjectiveOrder::new, new SchedulerLimits(6_000, 900, 2_500, policy));
        pool.addQueue("batch", 1, 3, 1).addQueue("approved", 1, 3, 0.9);
        for (int i = 0; i < workers; i++) {
            pool.addWorker("w" + i, 4_000);
        }
        pool.advance(100);
        return pool;
    }

    // Guards against owners that run out of memory: all tasks of a gang were made, room or not.
    @Test
    void gangWithoutRoomHasNoTasks() {
        addWorkers(12);
        List<Step> gangs = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            gangs.add(submit("a" + i, gang(MAX_GANG_TASKS)));
        }
        Step narrow = submit("b", gang(48));
        new PlacementRound(mState, RoundLimits.NONE, 10).run();
        gangs.forEach(it -> assertEquals(0, it.mTasks.size()));
        assertEquals(48, narrow.count(Task.Phase.PLACED));
    }

    // Guards against the same cost from steps that are no gangs.
    @Test
    void stepHasTheTasksThatThereIsRoomFor() {
        addWorkers(2);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            steps.add(submit("a" + i, PoolSchedulerTest.step(1_000_000, 1_000, 20, false)));
        }
        new PlacementRound(mState, RoundLimits.NONE, 10).run();
        assertEquals(8, steps.stream().mapToInt(it -> it.mTasks.size()).sum());
    }

    // Guards against forecasts whose cost grows with the width of a gang.
    @Test
    void forecastOfAWideGangCountsRoomByWorker() {
        addWorkers(3);
        Step step = submit("a", PoolSchedulerTest.step(Integer.MAX_VALUE, 0, 20, true));
        RoomForecast forecast = new RoomForecast(mState, 10);
        RoomForecast.Start start = forecast.startOf(step, Integer.MAX_VALUE, mWorkers);
        assertEquals(10, start.atMillis());
        assertEquals(1, start.workers().size());
        Step wide = submit("b", gang(13));
        assertEquals(
                Long.MAX_VALUE,
                new RoomForecast(mState, 10).startOf(wide, 13, mWorkers).atMillis());
    }

    // Guards against small work that waits, as gangs that never fit claim workers, use up the
    // requests for approval, or take what may be preempted at a time.
    @Test
    void gangsThatNeverFitKeepNothingFromOthers() {
        for (OverloadPolicy policy : List.of(OverloadPolicy.NONE, OverloadPolicy.of(250))) {
            SimulatedPool pool = pool(2, policy);
            pool.approvalCalls().limit(2);
            for (int i = 0; i < 40; i++) {
                String queue = i % 2 == 0 ? "batch" : "approved";
                pool.submit(PoolSchedulerTest.workflow("a" + i, queue, gang(10_000)));
            }
            pool.advance(2_000);
            assertEquals(0, pool.approvalRequestCount());
            for (String queue : List.of("batch", "approved")) {
                pool.submit(PoolSchedulerTest.workflow(queue, queue, gang(6)));
            }
            pool.advance(3_000);
            assertEquals(WorkflowState.COMPLETE, pool.stateOf("batch"));
            assertEquals(WorkflowState.COMPLETE, pool.stateOf("approved"));
            assertEquals(List.of(), pool.violations());
        }
    }

    // Guards against gangs that are put aside: they run once there are enough workers, under a new
    // owner, too.
    @Test
    void gangRunsOnceThereAreEnoughWorkers() {
        SimulatedPool pool = pool(2, OverloadPolicy.NONE);
        pool.submit(PoolSchedulerTest.workflow("a", "batch", gang(12)));
        pool.submit(PoolSchedulerTest.workflow("b", "approved", gang(12)));
        pool.advance(2_000);
        assertEquals(0, pool.startCount());
        pool.killOwner();
        pool.replaceOwner();
        pool.addWorker("w2", 4_000);
        pool.addWorker("w3", 4_000);
        pool.advance(6_000);
        assertEquals(WorkflowState.COMPLETE, pool.stateOf("a"));
        assertEquals(WorkflowState.COMPLETE, pool.stateOf("b"));
        assertEquals(List.of(), pool.violations());
    }

    // Guards against members that run on, or are stopped twice, as each of them is lost by itself.
    @Test
    void membersOfAnAbortedGangAreStoppedOnce() {
        addWorkers(500);
        Step step = submit("a", gang(2_000));
        new PlacementRound(mState, RoundLimits.NONE, 10).run();
        mState.mOutput.takeStarts();
        for (Task task : step.mTasks) {
            task.markRunning(20);
        }
        for (Task task : List.copyOf(step.mTasks)) {
            mState.abortGang(task, "member lost", 30);
        }
        assertEquals(2_000, mState.mOutput.takeStops().size());
    }

    // Guards against a schedule that makes other work wait while its steps have no room.
    @Test
    void scheduleWithoutRoomCostsNextToNothing() {
        SimulatedPool pool = pool(2, OverloadPolicy.NONE);
        pool.submit(late("a", 172_800, gang(16)));
        pool.advance(1_000);
        assertTrue(pool.scheduler().waitingStepCount() <= MAX_WAITING);
        pool.submit(PoolSchedulerTest.workflow("b", "batch", small()));
        pool.advance(1_000);
        assertEquals(WorkflowState.COMPLETE, pool.stateOf("b"));
    }

    // Guards against memory and rows that grow with the occurrences that wait for a later step: the
    // first step of each can run, the second one cannot, until there are enough workers.
    @Test
    void occurrencesThatWaitForALaterStepTakeNextToNothing() {
        SimulatedPool pool = pool(2, OverloadPolicy.NONE);
        int count = 3_000;
        pool.submit(late("a", count, small(), gang(16, 0)));
        pool.advance(30_000);
        assertEquals(count, pool.doneTasks().size(), "all first steps have run");
        assertTrue(pool.scheduler().waitingStepCount() <= MAX_WAITING);
        int bytes = MessageCodec.encode(pool.scheduler().row("a").get()).length;
        assertTrue(bytes < 8_000, "the row has " + bytes + " bytes");
        pool.killOwner();
        pool.replaceOwner();
        pool.advance(1_000);
        assertEquals(count, pool.startCount(), "no first step runs again");
        pool.addWorker("w2", 4_000);
        pool.addWorker("w3", 4_000);
        pool.advance(300_000);
        assertEquals(List.of(), pool.violations());
        assertEquals(WorkflowState.COMPLETE, pool.stateOf("a"));
    }

    private static StepSpec small() {
        return PoolSchedulerTest.step(1, 1_000, 20, false);
    }

    private static WorkflowSpec late(String id, int count, StepSpec... steps) {
        return new WorkflowSpec(
                id,
                "batch",
                "",
                List.of(steps),
                new WorkflowSpec.Schedule(count, -1_000L * count, 1_000));
    }
}
