package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** A worker has more ended runs than it lists in one report. */
class TruncatedReportTest {
    private static final String WORKFLOW = "a";
    private static final String WORKER = "w";

    private PoolScheduler mScheduler = TestPools.newScheduler(WORKER);

    // Guards against a second run of a completed task after a change of owner.
    @Test
    void inheritedRunBeyondTheListedEndsIsKept() {
        List<TaskStart> starts = startBoth();
        replaceOwner();
        report(true, List.of(done(1, starts.get(0))), 1_010);
        assertNoStart(1_010);
        report(false, List.of(done(2, starts.get(1))), 1_020);
        assertNoStart(1_020);
        assertEquals(WorkflowState.COMPLETE, mScheduler.row(WORKFLOW).get().state());
    }

    // Guards against the same while the owner goes on.
    @Test
    void runBeyondTheListedEndsIsKept() {
        List<TaskStart> starts = startBoth();
        report(true, List.of(done(1, starts.get(0))), 300);
        assertNoStart(300);
        report(false, List.of(done(2, starts.get(1))), 310);
        assertEquals(WorkflowState.COMPLETE, mScheduler.row(WORKFLOW).get().state());
    }

    // Guards against a second run of a task that has completed before its stop arrived.
    @Test
    void stoppedRunBeyondTheListedEndsIsKept() {
        List<TaskStart> starts = sendBoth();
        starts.forEach(it -> mScheduler.handleStartOutcome(it, StartOutcome.UNKNOWN, 200));
        for (TaskStop stop : mScheduler.output().takeStops()) {
            mScheduler.handleStopReply(stop, true, 201, 205);
        }
        report(true, List.of(done(1, starts.get(0))), 300);
        assertNoStart(300);
        report(false, List.of(done(2, starts.get(1))), 310);
        assertEquals(WorkflowState.COMPLETE, mScheduler.row(WORKFLOW).get().state());
    }

    // Guards against a run that counts as lost because the first report after a restart is cut.
    @Test
    void runBeyondTheFirstReportOfRestartedWorkerIsKept() {
        List<TaskStart> starts = startBoth();
        mScheduler.updateWorker(TestPools.worker(WORKER, 2), 250);
        RunReport.Ended first = done(1, starts.get(0));
        mScheduler.handleReport(
                WORKER, new RunReport(10, 2, List.of(), List.of(first), true), 251, 255);
        assertNoStart(255);
        RunReport.Ended second = done(2, starts.get(1));
        mScheduler.handleReport(WORKER, new RunReport(20, 2, List.of(), List.of(second)), 261, 265);
        assertEquals(WorkflowState.COMPLETE, mScheduler.row(WORKFLOW).get().state());
    }

    // Guards against a task that waits forever for a run that is gone.
    @Test
    void inheritedRunThatCompleteReportLacksIsPlacedAgain() {
        List<TaskStart> starts = startBoth();
        replaceOwner();
        report(true, List.of(done(1, starts.get(0))), 1_010);
        report(false, List.of(), 1_020);
        mScheduler.place(1_020);
        TaskStart again = mScheduler.output().takeStarts().get(0);
        assertEquals(starts.get(1).task(), again.task());
        assertEquals(2, again.run());
    }

    private void replaceOwner() {
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        mScheduler = TestPools.newOwner(1_000, WORKER);
        mScheduler.restoreWorkflow(workflow(), row, 0, 1_000);
    }

    private List<TaskStart> startBoth() {
        List<TaskStart> starts = sendBoth();
        starts.forEach(it -> mScheduler.handleStartOutcome(it, StartOutcome.ACCEPTED, 200));
        return starts;
    }

    private List<TaskStart> sendBoth() {
        mScheduler.addWorkflow(workflow(), 100);
        mScheduler.place(100);
        List<TaskStart> starts = mScheduler.output().takeStarts();
        assertEquals(2, starts.size());
        starts.forEach(it -> mScheduler.confirmStart(it, 100));
        return starts;
    }

    private void report(boolean truncated, List<RunReport.Ended> ends, long nowMillis) {
        mScheduler.handleReport(
                WORKER,
                new RunReport(nowMillis, 1, List.of(), ends, truncated),
                nowMillis - 1,
                nowMillis);
    }

    private void assertNoStart(long nowMillis) {
        mScheduler.place(nowMillis);
        assertEquals(List.of(), mScheduler.output().takeStarts());
    }

    private static RunReport.Ended done(long sequence, TaskStart start) {
        return new RunReport.Ended(sequence, start.task(), start.run(), EndKind.DONE, "");
    }

    private static WorkflowSpec workflow() {
        return PoolSchedulerTest.workflow(
                WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(2, 1_000, 500, false));
    }
}
