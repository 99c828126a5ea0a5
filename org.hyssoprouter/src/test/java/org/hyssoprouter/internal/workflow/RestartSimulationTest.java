package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Workers crash and start again under their identifiers while orders are slow, repeated and carried
 * out late: no task runs twice, and all complete.
 */
class RestartSimulationTest {
    private static final int WORKERS = 10;
    private static final int WORKFLOWS = 300;
    private static final int ARRIVAL_MILLIS = 60;
    private static final int CRASHES = 40;
    private static final int CRASH_INTERVAL_MILLIS = 450;

    /** Longer than an attempt, so that no order arrives after two changes of incarnation. */
    private static final int MIN_DOWN_MILLIS = 650;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noTaskRunsTwiceWhileWorkersRestart(long seed) {
        check(seed, false);
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void noTaskRunsTwiceWhileWorkersRestartAndOwnersChange(long seed) {
        check(seed, true);
    }

    private static void check(long seed, boolean changeOwners) {
        Random random = new Random(seed);
        SimulatedPool pool = new SimulatedPool().addQueue("batch", 1, 3, 1);
        pool.useSlowOrders(random);
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker("w" + i, 8_000);
        }
        pool.advance(200);
        submit(pool, random);
        List<SimulatedWorker> workers = List.copyOf(pool.workers());
        for (int i = 0; i < CRASHES; i++) {
            SimulatedWorker worker = workers.get(i % WORKERS);
            pool.at(
                    500 + (long) CRASH_INTERVAL_MILLIS * i,
                    () ->
                            worker.crash(
                                    MIN_DOWN_MILLIS + random.nextInt(600),
                                    random.nextInt(SimulatedPool.HEARTBEAT_MILLIS)));
        }
        for (int i = 0; changeOwners && i < 6; i++) {
            pool.at(1_700 + 2_900L * i, pool::replaceOwner);
        }
        pool.advance(80_000);
        assertEquals(List.of(), pool.violations());
        assertEquals(
                List.of(),
                IntStream.range(0, WORKFLOWS)
                        .mapToObj(i -> "a" + i)
                        .filter(
                                id ->
                                        pool.stateOf(id) == WorkflowState.PENDING
                                                || pool.stateOf(id) == WorkflowState.ACTIVE)
                        .toList());
    }

    private static void submit(SimulatedPool pool, Random random) {
        for (int i = 0; i < WORKFLOWS; i++) {
            String id = "a" + i;
            boolean gang = random.nextInt(6) == 0;
            int tasks = 1 + random.nextInt(4);
            int millis = 200 + random.nextInt(1_500);
            pool.at(
                    (long) ARRIVAL_MILLIS * i,
                    () ->
                            pool.submit(
                                    PoolSchedulerTest.workflow(
                                            id,
                                            "batch",
                                            PoolSchedulerTest.step(tasks, 1_000, millis, gang))));
        }
    }
}
