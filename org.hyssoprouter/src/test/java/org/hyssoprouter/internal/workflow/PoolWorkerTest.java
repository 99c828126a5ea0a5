package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.junit.jupiter.api.Test;

final class PoolWorkerTest {
    private final PoolWorker mWorker = new PoolWorker(entry(8_000), SimulatedPool.LIMITS);
    private final Step mStep = step(0);
    private final Step mOtherStep = step(1);

    private static WorkerEntry entry(long cpuMillis) {
        return new WorkerEntry(
                "w", "pool", "w:1", "domain", "r1", List.of(), cpu(cpuMillis), false, 0, 0, 1);
    }

    private static Room cpu(long cpuMillis) {
        return new Room(cpuMillis, 0, 0);
    }

    private static Step step(int number) {
        StepSpec spec =
                new StepSpec(
                        1,
                        cpu(1_000),
                        100,
                        List.of(),
                        false,
                        StepSpec.Limits.NONE,
                        StepSpec.Behavior.PLAIN);
        Workflow workflow =
                new Workflow(
                        new WorkflowSpec(
                                "a", "queue", "x", List.of(spec), WorkflowSpec.Schedule.ONCE),
                        0);
        return new Step(workflow, new StepKey("a", 0, number), spec);
    }

    private void assertFree(long cpuMillis, Step step) {
        assertEquals(cpu(cpuMillis), mWorker.freeFor(step));
    }

    @Test
    void reservationCountsForOtherStepsOnly() {
        mWorker.reserve(mStep, cpu(3_000));
        assertFree(8_000, mStep);
        assertFree(5_000, mOtherStep);
        mWorker.reserve(mStep, cpu(1_000));
        assertFree(7_000, mOtherStep);
        mWorker.releaseReservation(mStep);
        mWorker.releaseReservation(mStep);
        assertFree(8_000, mOtherStep);
    }

    @Test
    void allocationIsReplacedAndReleasedOnce() {
        Task task = mStep.task(0);
        mWorker.allocate(task, cpu(3_000));
        mWorker.allocate(task, cpu(2_000));
        assertFree(6_000, mStep);
        mWorker.release(task.mKey);
        mWorker.release(task.mKey);
        assertFree(8_000, mStep);
    }

    @Test
    void changedCapacityKeepsAllocationsAndReservations() {
        mWorker.allocate(mStep.task(0), cpu(3_000));
        mWorker.reserve(mStep, cpu(1_000));
        mWorker.update(entry(2_000), 0);
        assertFree(-1_000, mStep);
        assertFree(-2_000, mOtherStep);
    }
}
