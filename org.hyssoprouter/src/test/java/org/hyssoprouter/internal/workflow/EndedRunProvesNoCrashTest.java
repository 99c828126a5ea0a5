package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** A run that may have ended before its worker did proves no crash. */
class EndedRunProvesNoCrashTest {
    private static final String WORKFLOW = "a";
    private static final String WORKER = "w";

    private PoolScheduler mScheduler = TestPools.newScheduler(WORKER);
    private final WorkflowSpec mSpec =
            PoolSchedulerTest.workflow(
                    WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(1, 4_000, 500, false));
    private long mNowMillis = 100;

    // The answer belongs to an incarnation that has left as planned.
    @Test
    void lateAnswerOfIncarnationThatHasLeftProvesNoCrashOfTheNext() {
        mScheduler.addWorkflow(mSpec, mNowMillis);
        readList();
        TaskStart start = send();
        mScheduler.markStartUnanswered(start);
        drain(1);
        advance();
        // It leaves, and starts again.
        list(TestPools.worker(WORKER, 2));
        report(2, List.of());
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mNowMillis);
        advance();
        // This incarnation has never had the run.
        report(3, List.of());
        list(TestPools.worker(WORKER, 3));
        assertEquals(List.of(), proved());
    }

    // The run has ended before its worker crashes: its gang was broken, and it was stopped.
    @Test
    void crashAfterAcknowledgedStopOfGangMemberIsNotProved() {
        WorkflowSpec gang =
                PoolSchedulerTest.workflow(
                        WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(2, 3_000, 50_000, true));
        mScheduler = TestPools.newScheduler(WORKER, "v");
        mScheduler.addWorkflow(gang, mNowMillis);
        mScheduler.retainListed(Set.of(WORKER, "v"), mNowMillis);
        mScheduler.place(mNowMillis);
        List<TaskStart> starts = mScheduler.output().takeStarts();
        assertEquals(2, starts.size());
        for (TaskStart it : starts) {
            assertTrue(mScheduler.confirmStart(it, mNowMillis));
            mScheduler.handleStartOutcome(it, StartOutcome.ACCEPTED, mNowMillis);
        }
        TaskStart stopped = starts.get(0);
        TaskStart broken = starts.get(1);
        mNowMillis += 200;
        mScheduler.handleReport(
                broken.workerId(),
                new RunReport(
                        mNowMillis,
                        1,
                        List.of(),
                        List.of(
                                new RunReport.Ended(
                                        1, broken.task(), broken.run(), EndKind.ALONE, ""))),
                mNowMillis - 1,
                mNowMillis);
        List<TaskStop> stops = mScheduler.output().takeStops();
        assertEquals(1, stops.size());
        mScheduler.handleStopReply(stops.get(0), true, mNowMillis, mNowMillis);
        // Longer than a stop takes.
        for (int i = 0; i < 4; i++) {
            mNowMillis += 500;
            mScheduler.retainListed(Set.of(WORKER, "v"), mNowMillis);
        }
        mScheduler.handleReport(
                stopped.workerId(),
                new RunReport(mNowMillis, 2, List.of(), List.of()),
                mNowMillis - 1,
                mNowMillis);
        mScheduler
                .row(WORKFLOW)
                .get()
                .steps()
                .get(0)
                .tasks()
                .forEach(it -> assertEquals(List.of(), it.provedCrashes()));
    }

    // The run has lapsed while there was no owner; its worker ends later.
    @Test
    void crashAfterLeaseOfFormerOwnerHasLapsedIsNotProved() {
        mScheduler.addWorkflow(mSpec, mNowMillis);
        TaskStart start = send();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mNowMillis);
        mScheduler.grantLease(WORKER, mNowMillis);
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        // Longer than a lease and its margins.
        mNowMillis += 10_000;
        mScheduler = TestPools.newOwner(mNowMillis, WORKER);
        readList();
        mScheduler.restoreWorkflow(mSpec, row, 0, mNowMillis);
        advance();
        list(TestPools.worker(WORKER, 2));
        report(2, List.of());
        assertEquals(List.of(), proved());
    }

    // The same in series: no worker crashes under the task.
    @Test
    void runsThatLapseWithoutOwnerBeforeTheirWorkerRestartsFailNoWorkflow() {
        mScheduler.addWorkflow(mSpec, mNowMillis);
        for (int incarnation = 1; incarnation <= 6; incarnation++) {
            mNowMillis += 1_000;
            readList();
            report(incarnation, List.of());
            mScheduler.place(mNowMillis);
            List<TaskStart> starts = mScheduler.output().takeStarts();
            assertEquals(1, starts.size());
            assertTrue(mScheduler.confirmStart(starts.get(0), mNowMillis));
            mScheduler.handleStartOutcome(starts.get(0), StartOutcome.ACCEPTED, mNowMillis);
            mScheduler.grantLease(WORKER, mNowMillis);
            WorkflowRow row = mScheduler.row(WORKFLOW).get();
            mNowMillis += 10_000;
            mScheduler = TestPools.newOwner(mNowMillis);
            list(TestPools.worker(WORKER, incarnation));
            mScheduler.restoreWorkflow(mSpec, row, 0, mNowMillis);
            advance();
            list(TestPools.worker(WORKER, incarnation + 1));
            report(incarnation + 1, List.of());
            assertEquals(WorkflowState.ACTIVE, state(), mScheduler.row(WORKFLOW).get().reason());
        }
    }

    @Test
    void plannedDepartureProvesNoCrash() {
        mScheduler.addWorkflow(mSpec, mNowMillis);
        readList();
        TaskStart start = send();
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mNowMillis);
        advance();
        mScheduler.handleWorkerLeft(TestPools.worker(WORKER, 1), RunLossCause.LEFT, mNowMillis);
        assertEquals(List.of(), proved());
    }

    private TaskStart send() {
        mNowMillis += WorkerHealthTracker.MAX_EXCLUSION_MILLIS;
        readList();
        report(1, List.of());
        mScheduler.output().takeStarts();
        mScheduler.place(mNowMillis);
        List<TaskStart> starts = mScheduler.output().takeStarts();
        assertEquals(1, starts.size());
        assertTrue(mScheduler.confirmStart(starts.get(0), mNowMillis));
        return starts.get(0);
    }

    private void drain(long incarnation) {
        WorkerEntry entry = TestPools.worker(WORKER, incarnation);
        list(
                new WorkerEntry(
                        entry.id(),
                        entry.pool(),
                        entry.address(),
                        entry.domain(),
                        entry.rack(),
                        entry.labels(),
                        entry.capacity(),
                        true,
                        60_000,
                        0,
                        incarnation));
    }

    private void list(WorkerEntry entry) {
        mScheduler.updateWorker(entry, mNowMillis);
        readList();
    }

    private void readList() {
        mScheduler.retainListed(Set.of(WORKER), mNowMillis);
    }

    private void advance() {
        mNowMillis += 200;
        readList();
    }

    private void report(long incarnation, List<RunReport.Ended> ends) {
        mNowMillis += 10;
        mScheduler.handleReport(
                WORKER,
                new RunReport(mNowMillis, incarnation, List.of(), ends),
                mNowMillis - 1,
                mNowMillis);
    }

    private List<String> proved() {
        return mScheduler.row(WORKFLOW).get().steps().get(0).tasks().get(0).provedCrashes();
    }

    private WorkflowState state() {
        return mScheduler.row(WORKFLOW).get().state();
    }
}
