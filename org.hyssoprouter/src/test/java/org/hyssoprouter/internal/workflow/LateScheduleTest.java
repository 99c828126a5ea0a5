package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

/** Schedules of which many occurrences are due at once. */
class LateScheduleTest {
    private static final int TWO_DAYS = 172_800;
    private static final long INTERVAL_MILLIS = 1_000;
    private static final int MAX_WAITING = 1_024;

    private static WorkflowSpec late(String id, String queue, int count, StepSpec... steps) {
        return new WorkflowSpec(
                id,
                queue,
                "",
                List.of(steps),
                new WorkflowSpec.Schedule(count, -count * INTERVAL_MILLIS, INTERVAL_MILLIS));
    }

    private static StepSpec small(Integer... after) {
        return PoolSchedulerTest.step(1, 1_000, 20, false, after);
    }

    private static void tickAndPlace(PoolScheduler scheduler, long millis) {
        scheduler.tick(millis, millis);
        scheduler.place(millis);
    }

    private static SimulatedPool pool(int workers) {
        SimulatedPool pool = new SimulatedPool().addQueue("batch", 1, 3, 1);
        for (int i = 0; i < workers; i++) {
            pool.addWorker("w" + i, 4_000);
        }
        pool.advance(100);
        return pool;
    }

    // Guards against owners that run out of memory: all due occurrences were opened at once.
    @Test
    void occurrencesAreOpenedAsTheyRun() {
        PoolScheduler scheduler = TestPools.newScheduler("w0");
        scheduler.addWorkflow(late("a", TestPools.QUEUE, TWO_DAYS, small()), 0);
        tickAndPlace(scheduler, 10);
        assertEquals(4, scheduler.output().takeStarts().size());
        assertTrue(scheduler.waitingStepCount() <= MAX_WAITING, "" + scheduler.waitingStepCount());
    }

    // Guards against the same cost from many schedules that are late, and from wide ones.
    @Test
    void manyLateSchedulesShareWhatMayWait() {
        PoolScheduler scheduler = TestPools.newScheduler("w0");
        for (int i = 0; i < 500; i++) {
            StepSpec wide = PoolSchedulerTest.step(1_000_000, 1_000, 20, false);
            scheduler.addWorkflow(late("a" + i, TestPools.QUEUE, TWO_DAYS, small(), wide), 0);
        }
        tickAndPlace(scheduler, 10);
        assertEquals(4, scheduler.output().takeStarts().size());
        assertTrue(
                scheduler.waitingStepCount() <= MAX_WAITING + 500,
                "" + scheduler.waitingStepCount());
    }

    // Guards against occurrences that are left out, or run twice, as owners replace one another.
    @Test
    void allOccurrencesRunOnceWhoeverIsTheOwner() {
        SimulatedPool pool = pool(4);
        pool.submit(late("a", "batch", 2_000, small(), small(0)));
        for (int i = 0; i < 8; i++) {
            pool.advance(700 + 130 * i);
            pool.killOwner();
            pool.advance(300);
            pool.replaceOwner();
        }
        pool.advance(60_000);
        assertEquals(List.of(), pool.violations());
        assertEquals(WorkflowState.COMPLETE, pool.stateOf("a"));
        assertEquals(4_000, pool.doneTasks().size());
    }

    // Guards against a record of ended occurrences that grows without end.
    @Test
    void endedOccurrencesTakeTheSpaceOfTheirGaps() {
        Workflow workflow = new Workflow(late("a", "batch", 2_000_000, small()), 0);
        for (int i = 0; i < 1_000_000; i++) {
            if (i != 500_000) {
                workflow.mOccurrences.ended().add(i);
            }
        }
        WorkflowRow row = WorkflowRow.of(workflow, StoreOffset.NONE);
        assertEquals(2, row.ended().size());
        assertTrue(MessageCodec.encode(row).length < 100);
        WorkflowParts parts = new WorkflowParts(workflow, () -> StoreOffset.NONE);
        parts.refresh();
        assertTrue(parts.guardNames().size() < 500, "" + parts.guardNames().size());
    }

    @Test
    void dueOccurrencesAreCounted() {
        assertEquals(0, dueCount(10, 2_000, 1_000, 1_999));
        assertEquals(1, dueCount(10, 2_000, 1_000, 2_000));
        assertEquals(3, dueCount(10, 2_000, 1_000, 4_999));
        assertEquals(10, dueCount(10, 2_000, 1_000, 1_000_000));
        assertEquals(10, dueCount(10, 2_000, 0, 2_000));
        assertEquals(10, dueCount(10, Long.MIN_VALUE, 1_000, Long.MAX_VALUE / 2));
        assertEquals(1, dueCount(10, 0, Long.MAX_VALUE, 5_000));
    }

    private static long dueCount(int count, long firstMillis, long intervalMillis, long nowMillis) {
        return OccurrenceOpener.dueCount(
                new WorkflowSpec.Schedule(count, firstMillis, intervalMillis), nowMillis);
    }
}
