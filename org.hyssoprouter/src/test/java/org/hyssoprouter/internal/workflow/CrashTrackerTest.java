package org.hyssoprouter.internal.workflow;

import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.step;
import static org.hyssoprouter.internal.workflow.PoolSchedulerTest.workflow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Workflows whose tasks crash workers fail; those that only ran on the same workers complete. */
class CrashTrackerTest {
    private static final int WORKERS = 12;
    private static final int SOUND = 200;
    private static final int ARRIVAL_MILLIS = 60;

    /** After three crashes, a third further start of a task breaks the users' rule. */
    private static final int MAX_CRASHES = 5;

    private final SimulatedPool mPool =
            new SimulatedPool().addQueue("plain", 1, 3, 1).addQueue("approved", 0, 3, 0.9);

    CrashTrackerTest() {
        for (int i = 0; i < WORKERS; i++) {
            mPool.addWorker("w" + i, 8_000);
        }
        mPool.advance(200);
    }

    @AfterEach
    void noInvariantWasViolated() {
        assertEquals(List.of(), mPool.violations());
    }

    @Test
    void taskThatCrashesWorkersIsGivenUpAndOthersComplete() {
        submitSoundWorkflows();
        submitDeadly(0, 1, false);
        mPool.advance(30_000);
        assertGivenUp(0);
        assertSoundComplete();
    }

    @Test
    void manyTasksThatCrashWorkersAreGivenUpAndOthersComplete() {
        submitSoundWorkflows();
        for (int i = 0; i < 20; i++) {
            int number = i;
            mPool.at(300L * i, () -> submitDeadly(number, 2, false));
        }
        mPool.advance(60_000);
        IntStream.range(0, 20).forEach(this::assertGivenUp);
        assertSoundComplete();
    }

    @Test
    void gangWithMemberThatCrashesWorkersIsGivenUp() {
        submitSoundWorkflows();
        submitDeadly(0, 4, true);
        mPool.advance(30_000);
        assertGivenUp(0);
        assertSoundComplete();
    }

    @Test
    void crashesAreCountedAcrossOwners() {
        submitSoundWorkflows();
        submitDeadly(0, 2, false);
        for (int i = 0; i < 8; i++) {
            mPool.at(1_000 + 2_500L * i, mPool::replaceOwner);
        }
        mPool.advance(60_000);
        assertGivenUp(0);
        assertSoundComplete();
    }

    @Test
    void crashOfWorkersForOtherCausesFailsNoWorkflow() {
        submitSoundWorkflows();
        Random random = new Random(7);
        List<SimulatedWorker> workers = List.copyOf(mPool.workers());
        for (int i = 0; i < 12; i++) {
            mPool.at(
                    500 + 1_000L * i,
                    () ->
                            random.ints(2, 0, WORKERS)
                                    .mapToObj(workers::get)
                                    .filter(it -> !it.isDisconnected())
                                    .forEach(SimulatedWorker::crash));
        }
        mPool.advance(60_000);
        assertSoundComplete();
    }

    private void submitSoundWorkflows() {
        for (int i = 0; i < SOUND; i++) {
            String id = "sound" + i;
            String queue = i % 2 == 0 ? "plain" : "approved";
            mPool.at(
                    (long) i * ARRIVAL_MILLIS,
                    () -> mPool.submit(workflow(id, queue, step(2, 1_000, 700, false))));
        }
    }

    private void submitDeadly(int number, int tasks, boolean gang) {
        String id = "deadly" + number;
        mPool.deadlyTasks().add(deadlyTask(number));
        String queue = number % 2 == 0 ? "plain" : "approved";
        mPool.submit(workflow(id, queue, step(tasks, 1_000, 700, gang)));
    }

    private static TaskKey deadlyTask(int number) {
        return new TaskKey(new StepKey("deadly" + number, 0, 0), 0);
    }

    private void assertGivenUp(int number) {
        assertEquals(WorkflowState.FAILED, mPool.stateOf("deadly" + number));
        int crashes = mPool.deadlyTasks().crashes(deadlyTask(number));
        assertTrue(crashes <= MAX_CRASHES, "crashes: " + crashes);
    }

    private void assertSoundComplete() {
        List<String> incomplete =
                IntStream.range(0, SOUND)
                        .mapToObj(i -> "sound" + i)
                        .filter(it -> mPool.stateOf(it) != WorkflowState.COMPLETE)
                        .map(it -> it + " " + mPool.stateOf(it))
                        .toList();
        assertEquals(List.of(), incomplete);
    }
}
