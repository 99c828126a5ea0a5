package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** A worker restarts under its identifier, and a start may have reached its new incarnation. */
class WorkerRestartTest {
    private static final String WORKFLOW = "a";

    private PoolScheduler mScheduler = TestPools.newScheduler("w0", "w1");

    // Guards against a second run of a task that the new incarnation has accepted.
    @Test
    void acceptedRunIsKeptWhenTheListNamesNewIncarnation() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 110);
        restart(start, 120);
        assertNoStart(120);
        report(start, 2, running(start), 121, 125);
        assertNoStart(125);
    }

    // Guards against a second run of a task whose first attempt was lost in the restart.
    @Test
    void runAcceptedAtSecondAttemptIsKeptWhenTheListNamesNewIncarnation() {
        TaskStart start = sendStart();
        mScheduler.markStartUnanswered(start);
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 710);
        restart(start, 720);
        assertNoStart(720);
        report(start, 2, running(start), 721, 725);
        assertNoStart(725);
    }

    // Guards against a task that waits forever for a run that only the former incarnation had.
    @Test
    void acceptedRunThatNewIncarnationDoesNotReportIsPlacedAgain() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 110);
        restart(start, 120);
        report(start, 2, List.of(), 121, 125);
        assertEquals(2, nextStart(125).run());
    }

    // Guards against a second run of a task whose start is on its way to the new incarnation.
    @Test
    void unansweredStartIsStoppedBeforeTheTaskIsPlacedAgain() {
        TaskStart start = sendStart();
        restart(start, 120);
        assertNoStart(120);
        report(start, 2, List.of(), 121, 125);
        assertStoppedBeforeNextRun(start, 125);
    }

    // Guards against the same where a report is the first sign of the new incarnation.
    @Test
    void unansweredStartIsStoppedWhenReportNamesNewIncarnation() {
        TaskStart start = sendStart();
        report(start, 2, List.of(), 121, 125);
        assertStoppedBeforeNextRun(start, 125);
    }

    // Guards against a second run of a task whose unanswered first attempt is carried out late.
    @Test
    void startWithUnansweredAttemptIsStoppedInTheNewIncarnation() {
        TaskStart start = sendStart();
        mScheduler.markStartUnanswered(start);
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 710);
        report(start, 1, running(start), 720, 725);
        report(start, 2, List.of(), 1_000, 1_005);
        assertStoppedBeforeNextRun(start, 1_005);
    }

    // Guards against a second run of a task whose start was accepted after the report was made.
    @Test
    void runAcceptedAfterTheRequestOfTheFirstReportIsKept() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 110);
        report(start, 2, List.of(), 105, 125);
        assertNoStart(125);
        report(start, 2, running(start), 126, 130);
        assertNoStart(130);
    }

    // Guards against a start that is still on its way after a stop in the former incarnation.
    @Test
    void stopAcknowledgedByFormerIncarnationDoesNotCount() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.UNKNOWN, 700);
        TaskStop former = mScheduler.output().takeStops().get(0);
        mScheduler.handleStopReply(former, true, 701, 705);
        restart(start, 710);
        assertNoStart(710);
        report(start, 2, List.of(), 711, 715);
        mScheduler.handleStopReply(former, true, 701, 716);
        report(start, 2, List.of(), 717, 720);
        assertStoppedBeforeNextRun(start, 720);
    }

    // Guards against a second run of a task that a former owner started in the new incarnation.
    @Test
    void inheritedRunIsKeptUntilTheFirstReportOfTheNewIncarnation() {
        TaskStart start = sendStart();
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        mScheduler = TestPools.newOwner(1_000, "w0", "w1");
        mScheduler.restoreWorkflow(workflow(), row, 0, 1_000);
        restart(start, 1_010);
        reportOther(start, 1_010);
        assertNoStart(1_010);
        report(start, 2, running(start), 1_011, 1_015);
        assertNoStart(1_015);
    }

    // Guards against a task that a new owner never places again: its token shuts out late starts.
    @Test
    void inheritedRunThatNewIncarnationDoesNotReportIsPlacedAgain() {
        TaskStart start = sendStart();
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        mScheduler = TestPools.newOwner(1_000, "w0", "w1");
        mScheduler.restoreWorkflow(workflow(), row, 0, 1_000);
        restart(start, 1_010);
        report(start, 2, List.of(), 1_011, 1_015);
        assertEquals(2, nextStart(1_015).run());
    }

    // Guards against leases of the new incarnation that count as lapsed because its clock is not
    // known yet.
    @Test
    void runIsKeptUntilTheLeasesOfTheNewIncarnationHaveLapsed() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 20_000);
        restart(start, 20_010);
        reportOther(start, 20_050);
        mScheduler.tick(20_050, 20_050);
        assertNoStart(20_050);
        reportOther(start, 30_000);
        mScheduler.tick(30_000, 30_000);
        mScheduler.place(30_000);
        assertEquals(2, mScheduler.output().takeStarts().get(0).run());
    }

    // Guards against waiting for a report where nothing can have reached the new incarnation.
    @Test
    void reportedRunIsPlacedAgainAsSoonAsTheListNamesNewIncarnation() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 110);
        report(start, 1, running(start), 120, 125);
        restart(start, 200);
        assertEquals(2, nextStart(200).run());
    }

    // Guards against an end of the new incarnation that is dropped because its run counts as lost.
    @Test
    void endInTheFirstReportOfTheNewIncarnationCounts() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 110);
        restart(start, 120);
        RunReport.Ended end = new RunReport.Ended(1, start.task(), start.run(), EndKind.FAILED, "");
        mScheduler.handleReport(
                start.workerId(), new RunReport(10, 2, List.of(), List.of(end)), 121, 125);
        assertFalse(isSuspect(), "the run has ended, so it did not crash the worker");
        start = nextStart(125);
        mScheduler.confirmStart(start, 125);
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 130);
        end = new RunReport.Ended(2, start.task(), start.run(), EndKind.FAILED, "");
        mScheduler.handleReport(
                start.workerId(),
                new RunReport(20, incarnationOf(start), List.of(), List.of(end)),
                131,
                135);
        assertEquals(WorkflowState.FAILED, mScheduler.row(WORKFLOW).get().state());
    }

    // Guards against tasks that crash workers at their start and are never blamed for it.
    @Test
    void crashIsBlamedOnRunThatTheNewIncarnationDoesNotReport() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 110);
        restart(start, 120);
        assertFalse(isSuspect());
        report(start, 2, List.of(), 121, 125);
        assertTrue(isSuspect());
    }

    @Test
    void crashIsNotBlamedOnRunThatTheNewIncarnationReports() {
        TaskStart start = sendStart();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, 110);
        restart(start, 120);
        report(start, 2, running(start), 121, 125);
        assertFalse(isSuspect());
    }

    private boolean isSuspect() {
        return mScheduler.row(WORKFLOW).get().steps().get(0).tasks().get(0).crashes() > 0;
    }

    /** Asserts that the task waits for the stop of its run, whose start may still be on its way. */
    private void assertStoppedBeforeNextRun(TaskStart start, long nowMillis) {
        assertNoStart(nowMillis);
        List<TaskStop> stops = mScheduler.output().takeStops();
        TaskStop stop = stops.get(stops.size() - 1);
        assertEquals(start.run(), stop.run());
        mScheduler.handleStopReply(stop, true, nowMillis + 1, nowMillis + 5);
        assertNoStart(nowMillis + 5);
        report(start, 2, List.of(), nowMillis + 6, nowMillis + 10);
        assertEquals(start.run() + 1, nextStart(nowMillis + 10).run());
    }

    private void assertNoStart(long nowMillis) {
        mScheduler.place(nowMillis);
        assertEquals(List.of(), mScheduler.output().takeStarts());
    }

    private TaskStart nextStart(long nowMillis) {
        report("w0", incarnationOf("w0"), List.of(), nowMillis, nowMillis);
        report("w1", incarnationOf("w1"), List.of(), nowMillis, nowMillis);
        mScheduler.place(nowMillis);
        return mScheduler.output().takeStarts().get(0);
    }

    private long incarnationOf(TaskStart start) {
        return incarnationOf(start.workerId());
    }

    private long incarnationOf(String worker) {
        return mScheduler.processedEnds(worker).incarnationMillis();
    }

    /** Submits the workflow and sends the start of its task at 100 ms. */
    private TaskStart sendStart() {
        mScheduler.addWorkflow(workflow(), 100);
        mScheduler.place(100);
        TaskStart start = mScheduler.output().takeStarts().get(0);
        assertTrue(mScheduler.confirmStart(start, 100));
        return start;
    }

    /** Reports that the worker which does not have the run is idle. */
    private void reportOther(TaskStart start, long nowMillis) {
        String other = start.workerId().equals("w0") ? "w1" : "w0";
        report(other, 1, List.of(), nowMillis, nowMillis);
    }

    private void restart(TaskStart start, long nowMillis) {
        mScheduler.updateWorker(TestPools.worker(start.workerId(), 2), nowMillis);
    }

    private static List<RunReport.Running> running(TaskStart start) {
        return List.of(new RunReport.Running(start.task(), start.run(), "", 10, 0));
    }

    private void report(
            TaskStart start,
            long incarnation,
            List<RunReport.Running> running,
            long sentMillis,
            long nowMillis) {
        report(start.workerId(), incarnation, running, sentMillis, nowMillis);
    }

    private void report(
            String worker,
            long incarnation,
            List<RunReport.Running> running,
            long sentMillis,
            long nowMillis) {
        mScheduler.handleReport(
                worker,
                new RunReport(nowMillis, incarnation, running, List.of()),
                sentMillis,
                nowMillis);
    }

    private static WorkflowSpec workflow() {
        return PoolSchedulerTest.workflow(
                WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(1, 4_000, 500, false));
    }
}
