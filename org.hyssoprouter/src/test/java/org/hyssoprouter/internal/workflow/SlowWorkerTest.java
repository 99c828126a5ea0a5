package org.hyssoprouter.internal.workflow;

import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.step;
import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.workflow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Load pattern: a worker turns seven times as slow while the others have room. */
class SlowWorkerTest {
    private static final long TASK_MILLIS = 500;
    private static final double SLOWDOWN = 7;

    private final SimulatedPool mPool = new SimulatedPool().addQueue("batch", 1, 3, 1);
    private int mSubmittedCount;

    @AfterEach
    void noInvariantWasViolated() {
        assertEquals(List.of(), mPool.violations());
    }

    private String submit(int tasks) {
        return submit(tasks, 1_200);
    }

    private String submit(int tasks, long cpuMillis) {
        String id = "w" + mSubmittedCount++;
        mPool.submit(workflow(id, "batch", step(tasks, cpuMillis, TASK_MILLIS, false)));
        return id;
    }

    /** Lets the scheduler learn the duration of the tasks, then fills all workers once. */
    private void slowDown(List<SimulatedWorker> workers) {
        for (int i = 0; i < 4; i++) {
            submit(8);
            mPool.advance(1_000);
        }
        workers.forEach(it -> it.setSlowdown(SLOWDOWN));
        submit(12);
        // Two reports of an otherwise quiet worker are a second apart.
        mPool.advance(2_500);
    }

    @Test
    void slowWorkerReceivesNoFurtherRuns() {
        SimulatedWorker slow = mPool.addWorker("w0", 4_000);
        for (int i = 1; i < 5; i++) {
            mPool.addWorker("w" + i, 4_000);
        }
        slowDown(List.of(slow));
        // Best fit would choose the slow worker, which is still full but for this much.
        String id = submit(1, 400);
        mPool.advance(2_000);
        assertTrue(
                mPool.turnaroundMillis(id) >= 0 && mPool.turnaroundMillis(id) < 2 * TASK_MILLIS,
                "took " + mPool.turnaroundMillis(id));
    }

    @Test
    void slowWorkersAreUsedIfMostAreSlow() {
        SimulatedWorker first = mPool.addWorker("w0", 4_000);
        SimulatedWorker second = mPool.addWorker("w1", 4_000);
        mPool.addWorker("w2", 4_000);
        slowDown(List.of(first, second));
        int starts = mPool.startCount();
        submit(9);
        mPool.advance(6_000);
        assertEquals(starts + 9, mPool.startCount());
    }

    @Test
    void workerThatWasSlowIsUsedAgain() {
        SimulatedWorker slow = mPool.addWorker("w0", 4_000);
        for (int i = 1; i < 5; i++) {
            mPool.addWorker("w" + i, 4_000);
        }
        slowDown(List.of(slow));
        slow.setSlowdown(1);
        mPool.advance(6_000);
        int starts = mPool.startCount();
        submit(15);
        mPool.advance(200);
        assertEquals(starts + 15, mPool.startCount(), "all five workers are full");
    }
}
