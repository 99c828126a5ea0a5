package org.hyssoprouter.internal.workflow;

import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.step;
import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.workflow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Workflows whose runs are lost, but neither fail nor crash their workers, complete. */
class LostRunsFailNoWorkflowTest {
    private static final String WORKFLOW = "long";
    private static final int WORKERS = 4;

    /** Longer than a lease, its margins and three heartbeats of the list. */
    private static final long CUT_MILLIS = 9_000;

    private static final int CUTS = 6;
    private static final int OUTAGES = 6;
    private static final int TAKEOVERS = 12;
    private static final long TAKEOVER_MILLIS = 1_700;

    /** Longer than the leases that a former owner may have granted. */
    private static final long TAKEOVER_CUT_MILLIS = 10_000;

    /** Time after the return of the store until expired entries are back. */
    private static final long RETURN_MILLIS = 2_000;

    private static final int CRASHES = 8;
    private static final Room ROOM = new Room(1_000, 1, 0);

    private final SimulatedPool mPool = new SimulatedPool().addQueue("plain", 1, 3, 1);

    LostRunsFailNoWorkflowTest() {
        for (int i = 0; i < WORKERS; i++) {
            mPool.addWorker("w" + i, 8_000);
        }
        mPool.advance(200);
    }

    @AfterEach
    void noInvariantWasViolated() {
        assertEquals(List.of(), mPool.violations());
    }

    // Guards against workers that are cut off and counted as crashed.
    @Test
    void workflowCompletesAfterCutsInSeries() {
        submitLong(false);
        cutInSeries(() -> {});
        assertEquals(WorkflowState.COMPLETE, mPool.stateOf(WORKFLOW));
    }

    @Test
    void gangCompletesAfterCutsInSeries() {
        submitLong(true);
        cutInSeries(() -> {});
        assertEquals(WorkflowState.COMPLETE, mPool.stateOf(WORKFLOW));
    }

    @Test
    void workflowCompletesAfterCutsWithChangesOfTheOwner() {
        submitLong(false);
        cutInSeries(mPool::replaceOwner);
        assertEquals(WorkflowState.COMPLETE, mPool.stateOf(WORKFLOW));
    }

    // Guards against runs that lapse while the store is away and are blamed on their tasks.
    @Test
    void workflowCompletesAfterOutagesOfTheStoreInSeries() {
        submitLong(false);
        loseStoreInSeries(0);
        assertComplete();
    }

    @Test
    void gangCompletesAfterOutagesOfTheStoreInSeries() {
        submitLong(true);
        loseStoreInSeries(0);
        assertComplete();
    }

    // Guards against a new owner that reads a list from which all entries have expired.
    @Test
    void workflowCompletesAfterTakeoversWithoutListOfWorkersInSeries() {
        submitLong(false);
        loseStoreInSeries(TAKEOVER_CUT_MILLIS);
        assertComplete();
    }

    @Test
    void gangCompletesAfterTakeoversWithoutListOfWorkersInSeries() {
        submitLong(true);
        loseStoreInSeries(TAKEOVER_CUT_MILLIS);
        assertComplete();
    }

    @Test
    void workflowCompletesAfterTakeoversInSeries() {
        submitLong(false);
        for (int i = 0; i < TAKEOVERS; i++) {
            mPool.at(TAKEOVER_MILLIS * i, mPool::replaceOwner);
        }
        mPool.advance(60_000);
        assertComplete();
    }

    // Guards against a long-running workflow that fails after crashes of its workers.
    @Test
    void longRunningTaskStartsAgainAfterEachCrash() {
        StepSpec.Behavior habits = new StepSpec.Behavior(false, false, true, false, 0, "", 0);
        StepSpec step =
                new StepSpec(1, ROOM, 100_000, List.of(), false, StepSpec.Limits.NONE, habits);
        mPool.submit(workflow(WORKFLOW, "plain", step));
        for (int i = 0; i < CRASHES; i++) {
            mPool.advance(5_000);
            mPool.workers().stream()
                    .filter(it -> it.hasRunOf(WORKFLOW))
                    .forEach(SimulatedWorker::crash);
        }
        mPool.advance(10_000);
        assertEquals(WorkflowState.ACTIVE, mPool.stateOf(WORKFLOW));
        assertTrue(mPool.workers().stream().anyMatch(it -> it.hasRunOf(WORKFLOW)));
    }

    private void assertComplete() {
        assertEquals(WorkflowState.COMPLETE, mPool.stateOf(WORKFLOW));
    }

    private void submitLong(boolean gang) {
        mPool.submit(workflow(WORKFLOW, "plain", step(3, 1_000, 20_000, gang)));
    }

    /**
     * Lets the store be away several times, for longer than a lease; runs lapse, and entries expire
     * and come back a while after the store.
     *
     * @param cutMillis time for which workers stay out of reach of a new owner, which finds them
     *     unlisted; 0 if the owner stays and reaches them
     */
    private void loseStoreInSeries(long cutMillis) {
        for (int i = 0; i < OUTAGES; i++) {
            mPool.advance(3_000);
            mPool.store().setAway(true);
            mPool.advance(CUT_MILLIS);
            mPool.workers().forEach(SimulatedWorker::expireLeases);
            mPool.workers().forEach(it -> mPool.unlistWorker(it.mId));
            mPool.store().setAway(false);
            if (cutMillis > 0) {
                mPool.workers().forEach(it -> it.setDisconnected(true));
                mPool.replaceOwner();
                mPool.advance(cutMillis);
                mPool.workers().forEach(it -> it.setDisconnected(false));
            }
            mPool.workers().forEach(it -> mPool.listAfter(RETURN_MILLIS, it));
        }
        mPool.advance(60_000);
    }

    /** Cuts off all workers several times; their leases expire, and they run on. */
    private void cutInSeries(Runnable duringCut) {
        for (int i = 0; i < CUTS; i++) {
            mPool.advance(3_000);
            mPool.workers().forEach(it -> it.setDisconnected(true));
            mPool.advance(5_000);
            mPool.workers().forEach(it -> mPool.unlistWorker(it.mId));
            duringCut.run();
            mPool.advance(CUT_MILLIS - 5_000);
            mPool.workers().forEach(SimulatedWorker::expireLeases);
            mPool.workers().forEach(it -> it.setDisconnected(false));
            mPool.workers().forEach(it -> mPool.listAfter(SimulatedPool.HEARTBEAT_MILLIS, it));
        }
        mPool.advance(60_000);
    }
}
