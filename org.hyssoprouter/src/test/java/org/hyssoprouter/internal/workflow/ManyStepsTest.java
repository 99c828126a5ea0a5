package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

/** Workflows with as many steps as a submission can have. */
class ManyStepsTest {
    private static final int MAX_WAITING = 1_024;

    /** Steps in a body of 512 kB. */
    private static final int MAX_STEPS = 40_000;

    private static WorkflowSpec workflow(String id, List<StepSpec> steps) {
        return new WorkflowSpec(id, TestPools.QUEUE, "", steps, WorkflowSpec.Schedule.ONCE);
    }

    private static StepSpec step(String label) {
        return new StepSpec(
                1,
                new Room(1_000, 1, 0),
                20,
                List.of(),
                false,
                new StepSpec.Limits(false, label, "", 0),
                StepSpec.Behavior.PLAIN);
    }

    private static StepSpec small(Integer... after) {
        return PoolSchedulerTest.step(1, 1_000, 20, false, after);
    }

    private static SimulatedPool pool() {
        SimulatedPool pool = new SimulatedPool().addQueue(TestPools.QUEUE, 1, 3, 1);
        for (int i = 0; i < 4; i++) {
            pool.addWorker("w" + i, 16_000);
        }
        pool.advance(100);
        return pool;
    }

    private static void run(SimulatedPool pool, List<StepSpec> steps) {
        pool.submit(workflow("a", steps));
        pool.advance(800);
        pool.killOwner();
        pool.advance(200);
        pool.replaceOwner();
        pool.advance(120_000);
        assertEquals(List.of(), pool.violations());
        assertEquals(WorkflowState.COMPLETE, pool.stateOf("a"));
        assertEquals(steps.size(), pool.doneTasks().size());
    }

    // Guards against rounds and memory that grow with the steps whose turn has come, and against
    // steps that are never tried, as others before them have no room.
    @Test
    void stepsWithoutRoomTakeTurns() {
        PoolScheduler scheduler = TestPools.newScheduler("w0");
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < MAX_STEPS; i++) {
            steps.add(step(i == MAX_STEPS - 1 ? "a" : "nowhere"));
        }
        scheduler.addWorkflow(workflow("a", steps), 0);
        scheduler.addWorkflow(workflow("b", List.of(step("a"))), 0);
        List<TaskStart> starts = new ArrayList<>();
        for (int round = 0; round <= MAX_STEPS / MAX_WAITING; round++) {
            scheduler.place(10);
            assertTrue(scheduler.waitingStepCount() <= MAX_WAITING + 1);
            starts.addAll(scheduler.output().takeStarts());
            assertTrue(!starts.isEmpty(), "the small workflow starts at once");
        }
        assertEquals(2, starts.size());
        assertEquals(MAX_STEPS - 1, starts.get(1).task().step().step());
    }

    @Test
    void independentStepsRunOnce() {
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            steps.add(small());
        }
        run(pool(), steps);
    }

    @Test
    void chainRunsInOrder() {
        List<StepSpec> steps = new ArrayList<>(List.of(small()));
        for (int i = 1; i < 200; i++) {
            steps.add(small(i - 1));
        }
        run(pool(), steps);
    }

    @Test
    void stepsWithManyPredecessorsRunAfterThem() {
        List<StepSpec> steps = new ArrayList<>();
        Integer[] all = new Integer[200];
        for (int i = 0; i < all.length; i++) {
            steps.add(small());
            all[i] = i;
        }
        for (int i = 0; i < 100; i++) {
            steps.add(small(all));
        }
        SimulatedPool pool = pool();
        pool.submit(workflow("a", steps));
        while (pool.doneTasks().size() < all.length) {
            pool.advance(50);
            boolean isEarly =
                    pool.doneTasks().stream().anyMatch(it -> it.step().step() >= all.length);
            assertTrue(!isEarly || pool.doneTasks().size() >= all.length);
        }
        pool.advance(20_000);
        assertEquals(WorkflowState.COMPLETE, pool.stateOf("a"));
        assertEquals(List.of(), pool.violations());
    }

    // Guards against rows that grow with the steps that are done.
    @Test
    void doneStepsTakeABitEach() {
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < MAX_STEPS; i++) {
            steps.add(small());
        }
        Workflow workflow = new Workflow(workflow("a", steps), 0);
        Occurrence occurrence = workflow.mOccurrences.open(0);
        for (int i = 0; i < MAX_STEPS; i += 2) {
            occurrence.markDone(i);
        }
        WorkflowRow row = WorkflowRow.of(workflow, StoreOffset.NONE);
        assertTrue(MessageCodec.encode(row).length < 8_000);
        assertEquals(occurrence.doneSteps(), row.doneSteps().get(0).toBits(MAX_STEPS));
    }
}
