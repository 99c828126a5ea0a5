package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Bounds the crashes under one task when the owner learns late, or never, that a worker ended. */
class UnprovedCrashBoundTest {
    private static final String WORKFLOW = "deadly";
    private static final TaskKey TASK = new TaskKey(new StepKey(WORKFLOW, 0, 0), 0);
    private static final int WORKERS = 12;

    /** Three crashes, and three further starts. */
    private static final int MAX_CRASHES = 6;

    private static final long EXPIRY_MILLIS = 3 * SimulatedPool.HEARTBEAT_MILLIS;
    private static final long NEVER_MILLIS = 10_000_000;

    private final SimulatedPool mPool = new SimulatedPool().addQueue("plain", 1, 3, 1);
    private final Set<SimulatedWorker> mGone = new HashSet<>();

    // Guards against a crash that is only known after the leases of the worker have lapsed.
    @Test
    @Tag("known-red")
    void taskIsGivenUpWhenWorkersRestartAfterTheirLeases() {
        mPool.deadlyTasks().setDownMillis(12_000);
        mPool.at(0, this::unlistCrashed);
        check();
    }

    // Guards against workers that do not return and whose addresses are not reused.
    @Test
    @Tag("known-red")
    void taskIsGivenUpWhenWorkersDoNotReturn() {
        mPool.deadlyTasks().setDownMillis(NEVER_MILLIS);
        mPool.at(0, this::replaceCrashed);
        check();
    }

    // Guards against workers that crash before they have answered the start.
    @Test
    @Tag("known-red")
    void taskIsGivenUpWhenStartsAreNotAnswered() {
        mPool.at(0, () -> mPool.workers().forEach(it -> it.setDroppingAnswers(true)));
        check();
    }

    @Test
    void taskIsGivenUpInTheControlCase() {
        check();
    }

    private void check() {
        for (int i = 0; i < WORKERS; i++) {
            mPool.addWorker("w" + i, 8_000);
        }
        mPool.advance(200);
        mPool.deadlyTasks().add(TASK);
        mPool.submit(
                PoolSchedulerTest.workflow(
                        WORKFLOW, "plain", PoolSchedulerTest.step(1, 1_000, 700, false)));
        mPool.advance(300_000);
        int crashes = mPool.deadlyTasks().crashes(TASK);
        assertTrue(
                crashes <= MAX_CRASHES,
                "crashes: " + crashes + ", state: " + mPool.stateOf(WORKFLOW));
    }

    /** Removes the entries of silent workers, as the platform does. */
    private void unlistCrashed() {
        for (SimulatedWorker worker : List.copyOf(mPool.workers())) {
            if (worker.isDisconnected() && mGone.add(worker)) {
                mPool.at(EXPIRY_MILLIS, () -> mPool.unlistWorker(worker.mId));
                mPool.at(20_000, () -> mGone.remove(worker));
            }
        }
        mPool.at(SimulatedPool.CALL_MILLIS, this::unlistCrashed);
    }

    /** Adds a worker with an address of its own for each that has crashed. */
    private void replaceCrashed() {
        for (SimulatedWorker worker : List.copyOf(mPool.workers())) {
            if (worker.isDisconnected() && mGone.add(worker)) {
                String successor = "w" + mPool.workers().size() + "x" + mGone.size();
                mPool.at(EXPIRY_MILLIS, () -> mPool.unlistWorker(worker.mId));
                mPool.at(3_000, () -> mPool.addWorker(successor, 8_000));
            }
        }
        mPool.at(SimulatedPool.CALL_MILLIS, this::replaceCrashed);
    }
}
