package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An owner that lacks the policy of a queue, which was removed before its start, does not know how
 * often a task may fail: it counts failed runs, and ends no workflow for them.
 */
class RemovedQueueFailsNoWorkflowTest {
    private static final String WORKFLOW = "a";
    private static final String[] WORKERS = {"w0", "w1", "w2"};

    private final Map<String, Long> mSequences = new HashMap<>();
    private PoolScheduler mScheduler = TestPools.newScheduler(WORKERS);
    private WorkflowSpec mSpec = spec(false);
    private long mNowMillis = 100;

    // Guards against a workflow that fails with its first failed run once its queue was removed.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void workflowOfRemovedQueueOutlivesFailedRun(boolean gang) {
        submit(gang);
        List<TaskStart> starts = start();
        takeOver(false);
        fail(starts);
        assertEquals(WorkflowState.ACTIVE, state());
        mScheduler.configure(TestPools.config(2));
        List<TaskStart> again = start();
        assertEquals(starts.size(), again.size());
        fail(again);
        assertEquals(WorkflowState.FAILED, state());
    }

    // Guards against a start beyond the attempts that were used up without a policy.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void exhaustedWorkflowFailsOnceItsQueueIsBack(boolean gang) {
        submit(gang);
        fail(start());
        List<TaskStart> starts = start();
        takeOver(false);
        failOne(starts);
        assertEquals(WorkflowState.ACTIVE, state());
        mScheduler.configure(TestPools.config(2));
        assertEquals(List.of(), start());
        assertEquals(WorkflowState.FAILED, state());
    }

    // Guards against the same when the queue is back at the next owner.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void exhaustedWorkflowFailsAtOwnerWithItsQueue(boolean gang) {
        submit(gang);
        fail(start());
        List<TaskStart> starts = start();
        takeOver(false);
        failOne(starts);
        takeOver(true);
        assertEquals(List.of(), start());
        assertEquals(WorkflowState.FAILED, state());
    }

    @Test
    void activeRunOfExhaustedTaskGoesOnAndIsNotRepeated() {
        submit(false);
        fail(start());
        List<TaskStart> starts = start();
        mScheduler.configure(TestPools.config(1));
        assertEquals(List.of(), start());
        assertEquals(WorkflowState.ACTIVE, state());
        starts.forEach(it -> end(it, EndKind.LAPSED));
        assertEquals(List.of(), start());
        assertEquals(WorkflowState.FAILED, state());
    }

    @Test
    void longRunningTaskMayFailAnyNumberOfTimes() {
        StepSpec step = PoolSchedulerTest.step(2, 1_000, 500, false);
        mSpec =
                PoolSchedulerTest.workflow(
                        WORKFLOW,
                        TestPools.QUEUE,
                        new StepSpec(
                                step.taskCount(),
                                step.room(),
                                step.estimateMillis(),
                                step.after(),
                                step.gang(),
                                step.limits(),
                                new StepSpec.Behavior(false, false, true, false, 0, "", 0)));
        mScheduler.addWorkflow(mSpec, mNowMillis);
        for (int i = 0; i < 4; i++) {
            fail(start());
        }
        takeOver(true);
        assertEquals(2, start().size());
        assertEquals(WorkflowState.ACTIVE, state());
    }

    private void submit(boolean gang) {
        mSpec = spec(gang);
        mScheduler.addWorkflow(mSpec, mNowMillis);
    }

    private static WorkflowSpec spec(boolean gang) {
        return PoolSchedulerTest.workflow(
                WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(2, 1_000, 500, gang));
    }

    private void takeOver(boolean knowsQueue) {
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        mNowMillis += 100;
        mScheduler =
                knowsQueue
                        ? TestPools.newOwner(mNowMillis, WORKERS)
                        : TestPools.newOwnerWithoutQueue(mNowMillis, WORKERS);
        mScheduler.restoreWorkflow(mSpec, row, 0, mNowMillis);
    }

    private List<TaskStart> start() {
        // Workers are avoided for a while after failed runs.
        mNowMillis += WorkerHealthTracker.MAX_EXCLUSION_MILLIS;
        for (String id : WORKERS) {
            report(id, List.of());
        }
        mScheduler.place(mNowMillis);
        List<TaskStart> starts = mScheduler.output().takeStarts();
        for (TaskStart start : starts) {
            mScheduler.confirmStart(start, mNowMillis);
            mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mNowMillis);
        }
        return starts;
    }

    private void fail(List<TaskStart> starts) {
        starts.forEach(it -> end(it, EndKind.FAILED));
    }

    /** Lets the first run fail and the others lapse. */
    private void failOne(List<TaskStart> starts) {
        end(starts.get(0), EndKind.FAILED);
        starts.stream().skip(1).forEach(it -> end(it, EndKind.LAPSED));
    }

    private void end(TaskStart start, EndKind kind) {
        long sequence = mSequences.merge(start.workerId(), 1L, Long::sum);
        report(
                start.workerId(),
                List.of(new RunReport.Ended(sequence, start.task(), start.run(), kind, "")));
    }

    private void report(String worker, List<RunReport.Ended> ends) {
        mNowMillis += 10;
        mScheduler.handleReport(
                worker,
                new RunReport(mNowMillis, 1, List.of(), ends, true),
                mNowMillis - 1,
                mNowMillis);
    }

    private WorkflowState state() {
        return mScheduler.row(WORKFLOW).get().state();
    }
}
