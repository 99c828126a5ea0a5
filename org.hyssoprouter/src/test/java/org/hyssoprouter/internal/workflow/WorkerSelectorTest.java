package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.junit.jupiter.api.Test;

class WorkerSelectorTest {
    private static final long CPU_MILLIS = 2_000;

    private final Map<String, Integer> mCosts = new TreeMap<>();
    private final Map<String, Integer> mSlowness = new TreeMap<>();
    private boolean mSpreads;

    private final WorkerRanking mRanking =
            new WorkerRanking() {
                @Override
                public int cost(PoolWorker worker) {
                    return mCosts.getOrDefault(worker.mId, 0);
                }

                @Override
                public int slowness(PoolWorker worker) {
                    return mSlowness.getOrDefault(worker.mId, 0);
                }

                @Override
                public boolean spreads() {
                    return mSpreads;
                }
            };

    /** Returns the number of tasks by worker, of which each has room for two tasks. */
    private Map<String, Integer> select(int tasks, boolean gang) {
        List<PoolWorker> workers = new ArrayList<>();
        for (String id : mCosts.keySet()) {
            WorkerEntry entry =
                    new WorkerEntry(
                            id,
                            "pool",
                            id + ":1",
                            "domain",
                            "r1",
                            List.of(),
                            new Room(2 * CPU_MILLIS, 1_000, 0),
                            false,
                            0,
                            0,
                            1);
            workers.add(new PoolWorker(entry, SimulatedPool.LIMITS));
        }
        Workflow workflow =
                new Workflow(
                        PoolSchedulerTest.workflow(
                                "a", "queue", PoolSchedulerTest.step(tasks, CPU_MILLIS, 100, gang)),
                        0);
        Step step = new Step(workflow, new StepKey("a", 0, 0), workflow.mSpec.steps().get(0));
        Map<String, Integer> counts = new TreeMap<>();
        WorkerSelector.select(
                        step,
                        step.placeableCount(),
                        workers,
                        worker -> worker.freeFor(step),
                        mRanking)
                .values()
                .forEach(worker -> counts.merge(worker.mId, 1, Integer::sum));
        return counts;
    }

    @Test
    void cheapWorkersComeFirstAndDearOnesAreUsedWhenNeeded() {
        mCosts.putAll(Map.of("w0", 6, "w1", 0, "w2", 0));
        assertEquals(Map.of("w1", 2, "w2", 1), select(3, false));
        assertEquals(Map.of("w0", 2, "w1", 2, "w2", 2), select(6, false));
    }

    @Test
    void gangLeavesQuickWorkersThatWouldNotMakeItQuicker() {
        mCosts.putAll(Map.of("w0", 0, "w1", 0, "w2", 0, "w3", 0));
        mSlowness.putAll(Map.of("w0", -2, "w1", 0, "w2", 0, "w3", 2));
        assertEquals(Map.of("w0", 2), select(2, true));
        assertEquals(Map.of("w1", 2, "w2", 2), select(4, true));
        assertEquals(Map.of("w0", 2, "w1", 2, "w2", 2), select(6, true));
        assertEquals(Map.of("w0", 2, "w1", 2, "w2", 2, "w3", 2), select(8, true));
    }

    @Test
    void gangUsesDearWorkersOnlyWhereOthersHaveNoRoom() {
        mCosts.putAll(Map.of("w0", 6, "w1", 0, "w2", 0));
        assertEquals(Map.of("w1", 2, "w2", 2), select(4, true));
        assertEquals(Map.of("w0", 1, "w1", 2, "w2", 2), select(5, true));
    }

    @Test
    void tasksThatSlowDownEachOtherAreSpreadWhileThereAreWorkers() {
        mCosts.putAll(Map.of("w0", 0, "w1", 0));
        assertEquals(Map.of("w0", 2), select(2, false));
        mSpreads = true;
        assertEquals(Map.of("w0", 1, "w1", 1), select(2, false));
        assertEquals(Map.of("w0", 2, "w1", 2), select(4, false));
    }
}
