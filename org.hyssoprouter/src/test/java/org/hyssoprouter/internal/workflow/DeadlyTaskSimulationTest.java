package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bounds the crashes under one task when its workers crash and the owner changes. */
class DeadlyTaskSimulationTest {
    private static final String WORKFLOW = "deadly";
    private static final TaskKey TASK = new TaskKey(new StepKey(WORKFLOW, 0, 0), 0);
    private static final int WORKERS = 12;
    private static final int SOUND = 60;
    private static final int ARRIVAL_MILLIS = 200;

    /** After three crashes, a third further start of a task breaks the users' rule. */
    private static final int MAX_CRASHES = 5;

    private static final int OWNERS = 12;
    private static final int MIN_OWNERSHIP_MILLIS = 500;
    private static final int MAX_OWNERSHIP_MILLIS = 5_000;

    /** Time after which the platform removes the entry of a silent worker. */
    private static final long EXPIRY_MILLIS = 3 * SimulatedPool.HEARTBEAT_MILLIS;

    private static final long REPLACEMENT_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 250;
    private static final int RETRIES = 40;
    private static final long NEVER_MILLIS = 1_000_000;

    private final SimulatedPool mPool = new SimulatedPool().addQueue("plain", 1, 3, 1);
    private final Set<SimulatedWorker> mReplaced = new HashSet<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 6, 7, 8, 9})
    void taskIsGivenUpWhenWorkersRestartUnderTheirIdentifiers(long seed) {
        check(new Random(seed));
    }

    // Guards against new owners that do not notice that a worker restarted before they began.
    @ParameterizedTest
    @ValueSource(longs = {5, 121, 125, 149, 162, 164, 169, 189, 210})
    void taskIsGivenUpWhenRestartsAreMissedByNewOwners(long seed) {
        check(new Random(seed));
    }

    @ParameterizedTest
    @Tag("known-red")
    @ValueSource(longs = {137, 253, 264, 321, 356, 379})
    void taskIsGivenUpWhenProofsAreMissedByNewOwners(long seed) {
        check(new Random(seed));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void taskIsGivenUpWhenOtherWorkersTakeTheAddresses(long seed) {
        mPool.deadlyTasks().setDownMillis(NEVER_MILLIS);
        mPool.at(0, this::replaceCrashed);
        check(new Random(seed));
    }

    private void check(Random random) {
        for (int i = 0; i < WORKERS; i++) {
            mPool.addWorker("w" + i, 8_000);
        }
        mPool.advance(200);
        for (int i = 0; i < SOUND; i++) {
            String id = "sound" + i;
            mPool.at((long) i * ARRIVAL_MILLIS, () -> submit(id));
        }
        mPool.deadlyTasks().add(TASK);
        submit(WORKFLOW);
        long atMillis = 0;
        for (int i = 0; i < OWNERS; i++) {
            atMillis +=
                    MIN_OWNERSHIP_MILLIS
                            + random.nextInt(MAX_OWNERSHIP_MILLIS - MIN_OWNERSHIP_MILLIS);
            mPool.at(atMillis, mPool::replaceOwner);
        }
        mPool.advance(90_000);
        int crashes = mPool.deadlyTasks().crashes(TASK);
        assertEquals(WorkflowState.FAILED, mPool.stateOf(WORKFLOW), "crashes: " + crashes);
        assertTrue(crashes <= MAX_CRASHES, "crashes: " + crashes);
        for (int i = 0; i < SOUND; i++) {
            assertEquals(WorkflowState.COMPLETE, mPool.stateOf("sound" + i));
        }
        assertEquals(List.of(), mPool.violations());
    }

    private void submit(String id) {
        mPool.submit(
                PoolSchedulerTest.workflow(
                        id, "plain", PoolSchedulerTest.step(1, 1_000, 700, false)));
    }

    /** Lets other workers take the addresses of those that have crashed. */
    private void replaceCrashed() {
        for (SimulatedWorker worker : List.copyOf(mPool.workers())) {
            if (worker.isDisconnected() && mReplaced.add(worker)) {
                WorkerEntry entry = worker.entry(mPool.nowMillis());
                String successor = "w" + mPool.workers().size() + "x" + mReplaced.size();
                mPool.at(EXPIRY_MILLIS, () -> mPool.unlistWorker(worker.mId));
                mPool.at(REPLACEMENT_MILLIS, () -> mPool.addWorker(successor, 8_000));
                for (int i = 0; i < RETRIES; i++) {
                    mPool.at(
                            REPLACEMENT_MILLIS + i * RETRY_MILLIS,
                            () -> mPool.reportWorkerEnded(entry, RunLossCause.ADDRESS_TAKEN));
                }
            }
        }
        mPool.at(SimulatedPool.CALL_MILLIS, this::replaceCrashed);
    }
}
