package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.junit.jupiter.api.Test;

/** Which workflows count as waiting for their first start, above all after a change of owner. */
class QueuedWorkflowsTest {
    private static final String ID = "a";
    private static final WorkflowSpec SPEC = workflow(1, false);
    private static final WorkflowSpec GANG = workflow(2, true);

    private final PoolScheduler mOwner = TestPools.newScheduler("w0", "w1");

    private static WorkflowSpec workflow(int tasks, boolean gang) {
        return PoolSchedulerTest.workflow(
                ID, TestPools.QUEUE, PoolSchedulerTest.step(tasks, 4_000, 500, gang));
    }

    private List<TaskStart> place(WorkflowSpec spec) {
        mOwner.addWorkflow(spec, 100);
        mOwner.place(100);
        return mOwner.output().takeStarts();
    }

    private static int queued(PoolScheduler scheduler) {
        return scheduler.queued().counts().getOrDefault(TestPools.QUEUE, 0);
    }

    private PoolScheduler takeOver(WorkflowSpec spec) {
        PoolScheduler next = TestPools.newOwner(400, "w0", "w1");
        next.restoreWorkflow(spec, mOwner.row(ID).get(), 400, 400);
        return next;
    }

    private static RunReport report(List<RunReport.Running> running, RunReport.Ended... ended) {
        return new RunReport(500, 1, running, List.of(ended));
    }

    private static RunReport.Running running(TaskStart start) {
        return new RunReport.Running(start.task(), start.run(), "", 10, 0);
    }

    private static RunReport.Ended ended(TaskStart start, EndKind kind) {
        return new RunReport.Ended(1, start.task(), start.run(), kind, "");
    }

    // Guards against a workflow that a new owner takes for begun, as its start was decided.
    @Test
    void workflowWhoseStartWasTurnedAwayIsQueuedAfterTakeover() {
        TaskStart start = place(SPEC).get(0);
        mOwner.handleStartOutcome(start, StartOutcome.UNHEALTHY, 200);
        assertEquals(1, queued(mOwner));
        PoolScheduler next = takeOver(SPEC);
        assertEquals(1, queued(next));
        assertEquals(0, next.queued().unsettledCount(), "no run is ordered");
    }

    // Guards against the same for a start that never left the former owner.
    @Test
    void workflowWhoseStartWasNotSentIsQueuedAfterTakeover() {
        TaskStart start = place(SPEC).get(0);
        PoolScheduler next = takeOver(SPEC);
        assertEquals(1, next.queued().unsettledCount());
        next.handleReport(start.workerId(), report(List.of()), 450, 500);
        assertEquals(1, queued(next));
        assertEquals(0, next.queued().unsettledCount());
    }

    @Test
    void workflowIsNotQueuedOnceItsWorkerReportsTheRunToTheNextOwner() {
        TaskStart start = place(SPEC).get(0);
        mOwner.handleStartOutcome(start, StartOutcome.ACCEPTED, 200);
        assertEquals(0, queued(mOwner));
        PoolScheduler next = TestPools.newOwner(400, "w0", "w1");
        WorkflowRow row = mOwner.row(ID).get();
        // The row from before the answer; the answer itself changes no row.
        next.restoreWorkflow(
                SPEC,
                new WorkflowRow(row.queue(), row.state(), List.of(), row.steps(), ""),
                400,
                400);
        assertEquals(1, next.queued().unsettledCount());
        next.handleReport(start.workerId(), report(List.of(running(start))), 450, 500);
        assertEquals(0, queued(next));
        assertEquals(0, next.queued().unsettledCount());
    }

    // Guards against a workflow that counts as waiting again after its first run was lost.
    @Test
    void workflowThatHasBegunIsNotQueuedAfterTakeover() {
        TaskStart start = place(SPEC).get(0);
        mOwner.handleStartOutcome(start, StartOutcome.ACCEPTED, 200);
        mOwner.handleReport(start.workerId(), report(List.of()), 300, 300);
        assertEquals(0, queued(mOwner));
        PoolScheduler next = takeOver(SPEC);
        assertEquals(0, queued(next));
        assertEquals(0, next.queued().unsettledCount());
    }

    // Guards against a run that has begun unseen, as the answer to its start was lost.
    @Test
    void workflowIsNotQueuedAfterAnEndOfAnUnansweredStart() {
        TaskStart start = place(SPEC).get(0);
        RunReport end = report(List.of(), ended(start, EndKind.FAILED));
        mOwner.handleReport(start.workerId(), end, 300, 300);
        assertEquals(0, queued(mOwner));
        assertEquals(0, queued(takeOver(SPEC)));
    }

    // Guards against a gang that counts as begun while its members wait for each other.
    @Test
    void gangIsQueuedUntilAllMembersArePresent() {
        List<TaskStart> starts = place(GANG);
        mOwner.handleStartOutcome(starts.get(0), StartOutcome.ACCEPTED, 200);
        assertEquals(1, queued(mOwner));
        mOwner.handleReport(
                starts.get(0).workerId(),
                report(List.of(), ended(starts.get(0), EndKind.ALONE)),
                300,
                300);
        assertEquals(1, queued(mOwner));
        assertEquals(1, queued(takeOver(GANG)));
    }

    @Test
    void gangIsNotQueuedOnceAllMembersArePresent() {
        for (TaskStart start : place(GANG)) {
            assertEquals(1, queued(mOwner));
            mOwner.handleStartOutcome(start, StartOutcome.ACCEPTED, 200);
        }
        assertEquals(0, queued(mOwner));
        mOwner.handleReport("w0", report(List.of()), 300, 300);
        assertEquals(0, queued(takeOver(GANG)));
    }
}
