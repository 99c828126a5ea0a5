package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.junit.jupiter.api.Test;

class WorkerSpeedTest {
    private final WorkerSpeed mSpeed = new WorkerSpeed();

    private static TaskKey task(int index) {
        return new TaskKey(new StepKey("a", 0, 0), index);
    }

    @Test
    void singleLongRunsDoNotCount() {
        mSpeed.record(task(0), 8, 100);
        mSpeed.record(task(0), 8, 200);
        mSpeed.record(task(1), 8, 300);
        assertFalse(mSpeed.isSlow(300));
        mSpeed.record(task(2), 0.9, 300);
        mSpeed.record(task(3), 1.2, 300);
        assertFalse(mSpeed.isSlow(300));
    }

    @Test
    void workerIsSlowWhileItsRunsAre() {
        for (int i = 0; i < WorkerSpeed.MIN_RUNS; i++) {
            mSpeed.record(task(i), 7, 100);
        }
        assertTrue(mSpeed.isSlow(200));
        for (int i = 0; i <= WorkerSpeed.MIN_RUNS; i++) {
            mSpeed.record(task(10 + i), 1, 300);
        }
        assertFalse(mSpeed.isSlow(300));
    }

    @Test
    void workerIsTriedAgainAfterAWhile() {
        for (int i = 0; i < WorkerSpeed.MIN_RUNS; i++) {
            mSpeed.record(task(i), 7, 100);
        }
        assertFalse(mSpeed.isSlow(100 + WorkerSpeed.WINDOW_MILLIS));
    }
}
