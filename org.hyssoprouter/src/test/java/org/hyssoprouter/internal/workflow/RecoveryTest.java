package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** Accepted workflows go on after faults of workers and changes of the owner. */
class RecoveryTest {
    private static final String GANG = "gang";

    private final SimulatedPool mPool =
            new SimulatedPool().addQueue("batch", 1, 3, 1).addQueue("urgent", 0, 3, 0.999);

    @Test
    void workersOnWhichStepStalledAreUsedAgain() {
        SimulatedWorker worker = mPool.addWorker("w0", 4_000);
        worker.setStalling(true);
        mPool.submit(workflow("a", "batch", PoolSchedulerTest.step(1, 1_000, 500, false)));
        mPool.advance(3_000);
        worker.setStalling(false);
        mPool.advance(14_000);
        assertEquals(WorkflowState.COMPLETE, mPool.stateOf("a"));
    }

    @Test
    void newOwnerDoesNotWaitForLeasesThatFormerOwnerSawLapse() {
        SimulatedWorker lost = mPool.addWorker("w0", 4_000);
        mPool.submit(workflow("a", "batch", PoolSchedulerTest.step(1, 1_000, 500, false)));
        mPool.advance(200);
        lost.setDisconnected(true);
        mPool.advance(10_000);
        lost.expireLeases();
        mPool.replaceOwner();
        mPool.addWorker("w1", 4_000);
        mPool.advance(2_000);
        assertEquals(WorkflowState.COMPLETE, mPool.stateOf("a"));
    }

    @Test
    void gangReleasesReservationOnWorkerThatWasLost() {
        mPool.addQueue(
                SimulatedQueues.queue(
                        "patient",
                        0,
                        3,
                        new QueuePolicy.ApprovalPolicy(20, 0.2, 2_000),
                        new QueuePolicy.Objective(2, 10_000)),
                0.999);
        for (int i = 0; i < 3; i++) {
            mPool.addWorker("w" + i, 4_000);
        }
        StepSpec background = PoolSchedulerTest.step(3, 4_000, 60_000, false);
        mPool.submit(workflow("background", "batch", withCheckpoints(background)));
        mPool.advance(500);
        mPool.submit(workflow(GANG, "patient", PoolSchedulerTest.step(2, 4_000, 500, true)));
        mPool.advance(60);
        SimulatedWorker lost = mPool.workers().iterator().next();
        lost.setDisconnected(true);
        mPool.advance(8_000);
        assertEquals(WorkflowState.COMPLETE, mPool.stateOf(GANG));
    }

    @Test
    void failureOfOneGangRunCountsOnceAcrossOwners() {
        PoolScheduler former = TestPools.newScheduler("w0", "w1");
        former.addWorkflow(gang(), 100);
        former.place(100);
        List<TaskStart> starts = former.output().takeStarts();
        starts.forEach(it -> former.handleStartOutcome(it, StartOutcome.ACCEPTED, 200));
        former.handleReport(starts.get(0).workerId(), failure(starts.get(0)), 300, 300);
        PoolScheduler next = TestPools.newOwner(400, "w0", "w1");
        next.restoreWorkflow(gang(), former.row(GANG).get(), 400, 400);
        next.handleReport(starts.get(1).workerId(), failure(starts.get(1)), 500, 500);
        assertNotEquals(WorkflowState.FAILED, next.row(GANG).get().state());
    }

    @Test
    void workerIsUsedWhenFormerIncarnationIsListedLate() {
        PoolScheduler scheduler = TestPools.newScheduler("w0", "w1");
        for (long incarnation = 2; incarnation <= 4; incarnation++) {
            scheduler.handleReport("w0", report(incarnation, List.of()), 100, 100);
        }
        scheduler.updateWorker(TestPools.worker("w0", 1), 200);
        scheduler.handleReport("w0", report(4, List.of()), 300, 300);
        assertEquals(4, scheduler.processedEnds("w0").incarnationMillis());
        scheduler.updateWorker(TestPools.worker("w0", 4), 300);
        scheduler.addWorkflow(
                workflow("a", "batch", PoolSchedulerTest.step(1, 4_000, 500, false)), 300);
        scheduler.place(300);
        assertTrue(
                scheduler.output().takeStarts().stream().anyMatch(it -> it.workerId().equals("w0")),
                "the worker has room");
    }

    // Guards against an overfull worker: a restarted worker may be smaller than the entry of its
    // former incarnation says.
    @Test
    void restartedWorkerIsNotUsedWithCapacityOfFormerIncarnation() {
        PoolScheduler scheduler = TestPools.newScheduler("w0", "w1");
        scheduler.markUnlisted("w1");
        scheduler.handleReport("w0", report(2, List.of()), 100, 100);
        scheduler.addWorkflow(
                workflow("a", "batch", PoolSchedulerTest.step(2, 2_000, 500, false)), 100);
        scheduler.place(100);
        assertEquals(List.of(), scheduler.output().takeStarts());
        scheduler.updateWorker(TestPools.worker("w0", 2, 2_000), 200);
        scheduler.place(200);
        assertEquals(1, scheduler.output().takeStarts().size());
    }

    // Guards against a second run of a task whose start reached its worker after a restart.
    @Test
    void runThatRestartedWorkerReportsIsKept() {
        PoolScheduler scheduler = TestPools.newScheduler("w0", "w1");
        scheduler.addWorkflow(
                workflow("a", "batch", PoolSchedulerTest.step(1, 4_000, 500, false)), 100);
        scheduler.place(100);
        TaskStart start = scheduler.output().takeStarts().get(0);
        scheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 200);
        RunReport.Running run = new RunReport.Running(start.task(), start.run(), "", 10, 0);
        RunReport report = new RunReport(300, 2, List.of(run), List.of());
        scheduler.handleReport(start.workerId(), report, 300, 300);
        scheduler.place(300);
        assertEquals(List.of(), scheduler.output().takeStarts());
    }

    // Guards against an overfull worker: the start of a run whose task an earlier run completes may
    // still be on its way when an older report arrives.
    @Test
    void roomIsKeptUntilReportAfterTheStopOfSupersededRun() {
        PoolScheduler scheduler = TestPools.newScheduler("w0", "w1");
        String worker = supersedeRun(scheduler);
        scheduler.handleReport(worker, report(1, List.of()), 20_001, 20_015);
        scheduler.place(20_015);
        assertEquals(List.of(), scheduler.output().takeStarts());
    }

    // Guards against an overfull worker: while neither the start nor the stop of a superseded run
    // is answered, the start may still take effect.
    @Test
    void roomIsKeptUntilStopOfSupersededRunIsAcknowledged() {
        PoolScheduler scheduler = TestPools.newScheduler("w0", "w1");
        String worker = supersedeRun(scheduler);
        scheduler.grantLease(worker, 20_010);
        assertEquals(1, scheduler.output().takeStops().size());
        scheduler.handleReport(worker, report(1, List.of()), 20_020, 20_030);
        scheduler.place(20_030);
        assertEquals(List.of(), scheduler.output().takeStarts());
        scheduler.tick(20_700, 20_700);
        TaskStop repeated = scheduler.output().takeStops().get(0);
        scheduler.handleStopReply(repeated, true, 20_700, 20_705);
        scheduler.handleReport(worker, report(1, List.of()), 20_710, 20_715);
        scheduler.place(20_715);
        assertEquals(1, scheduler.output().takeStarts().size(), "the run cannot start any more");
    }

    /**
     * Lets an earlier run complete a task whose second run was just placed, at 20,010 ms. Another
     * task waits for the room of the second run. Returns the worker of that run.
     */
    private static String supersedeRun(PoolScheduler scheduler) {
        scheduler.addWorkflow(
                PoolSchedulerTest.workflow(
                        "a",
                        "batch",
                        PoolSchedulerTest.step(1, 4_000, 500, false),
                        PoolSchedulerTest.step(1, 1_000, 500, false, 0)),
                100);
        scheduler.place(100);
        TaskStart first = scheduler.output().takeStarts().get(0);
        scheduler.handleStartOutcome(first, StartOutcome.ACCEPTED, 200);
        scheduler.markUnlisted(first.workerId());
        scheduler.tick(20_000, 20_000);
        String other = first.workerId().equals("w0") ? "w1" : "w0";
        scheduler.handleReport(other, report(1, List.of()), 19_990, 20_000);
        scheduler.place(20_000);
        assertEquals(2, scheduler.output().takeStarts().get(0).run());
        RunReport.Ended end = new RunReport.Ended(1, first.task(), first.run(), EndKind.DONE, "");
        scheduler.handleReport(
                first.workerId(),
                new RunReport(20_000, 1, List.of(), List.of(end)),
                20_005,
                20_010);
        return other;
    }

    // Guards against an overfull worker: a run that the owner has not placed and whose stop goes
    // unanswered keeps its room beyond the pause that follows the report.
    @Test
    void workerWithUnknownRunIsNotUsedUntilReportWithoutIt() {
        PoolScheduler scheduler = TestPools.newScheduler("w0", "w1");
        TaskKey unknown = new TaskKey(new StepKey("unknown", 0, 0), 0);
        RunReport.Running run = new RunReport.Running(unknown, 1, "", 10, 0);
        scheduler.handleReport("w0", new RunReport(100, 1, List.of(run), List.of()), 100, 100);
        scheduler.addWorkflow(
                workflow("a", "batch", PoolSchedulerTest.step(2, 4_000, 500, false)), 100);
        long pauseEndMillis = 100 + RunTracker.REJECTION_PAUSE_MILLIS;
        scheduler.place(pauseEndMillis);
        assertEquals(
                List.of("w1"),
                scheduler.output().takeStarts().stream().map(TaskStart::workerId).toList());
        scheduler.handleReport("w0", report(1, List.of()), pauseEndMillis, pauseEndMillis);
        scheduler.place(pauseEndMillis);
        assertEquals(1, scheduler.output().takeStarts().size(), "the run has ended");
    }

    private static WorkflowSpec gang() {
        return workflow(GANG, "batch", PoolSchedulerTest.step(2, 4_000, 500, true));
    }

    private static RunReport failure(TaskStart start) {
        return report(
                1, List.of(new RunReport.Ended(1, start.task(), start.run(), EndKind.FAILED, "")));
    }

    private static RunReport report(long incarnation, List<RunReport.Ended> ends) {
        return new RunReport(1_000, incarnation, List.of(), ends);
    }

    private static WorkflowSpec workflow(String id, String queue, StepSpec step) {
        return PoolSchedulerTest.workflow(id, queue, step);
    }

    private static StepSpec withCheckpoints(StepSpec step) {
        return new StepSpec(
                step.taskCount(),
                step.room(),
                step.estimateMillis(),
                step.after(),
                step.gang(),
                step.limits(),
                new StepSpec.Behavior(true, false, false, false, 0, "", 0));
    }
}
