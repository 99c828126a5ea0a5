package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** The log and the reason of a failed workflow tell which ends and losses were counted. */
class FailureExplanationTest {
    private static final String WORKFLOW = "a";
    private static final String WORKER = "w";

    private PoolScheduler mScheduler = TestPools.newScheduler(WORKER);
    private int mEnds;

    @Test
    void reasonNamesFailuresLimitAndLastWorker() {
        submit(1, false);
        endRun(start(100), EndKind.FAILED, 200);
        endRun(start(300), EndKind.FAILED, 400);
        assertEquals(
                List.of("worker=w run=1 failures=1 of 2", "worker=w run=2 failures=2 of 2"),
                inputs("failure counted"));
        String reason = "a.0.0.0 exhausted its attempts (failures=2 of 2), last on w in run 2";
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        assertEquals(WorkflowState.FAILED, row.state());
        assertEquals(reason, row.reason());
    }

    @Test
    void failureBeforeChangeOfOwnerIsCounted() {
        submit(1, false);
        endRun(start(100), EndKind.FAILED, 200);
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        mScheduler = TestPools.newOwner(1_000, WORKER);
        mScheduler.restoreWorkflow(workflow(1, false), row, 0, 1_000);
        report(List.of(), 1_010);
        endRun(start(1_020), EndKind.FAILED, 1_100);
        assertEquals(List.of("worker=w run=2 failures=2 of 2"), inputs("failure counted"));
    }

    @Test
    void failedRunOfGangIsLoggedOnce() {
        submit(2, true);
        List<TaskStart> starts = startAll(100);
        report(
                List.of(ended(starts.get(0), EndKind.FAILED), ended(starts.get(1), EndKind.FAILED)),
                200);
        assertEquals(List.of("worker=w run=1 failures=1 of 2"), inputs("failure counted"));
    }

    @Test
    void endThatIsNoFailureIsNotCounted() {
        submit(1, false);
        endRun(start(100), EndKind.BROKEN, 200);
        assertEquals(List.of(), inputs("failure counted"));
    }

    @Test
    void lostRunTellsWhatTheOwnerKnewOfTheWorker() {
        submit(1, false);
        start(100);
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        mScheduler = TestPools.newOwner(1_000, WORKER);
        mScheduler.restoreWorkflow(workflow(1, false), row, 0, 1_000);
        mScheduler.retainListed(List.of(), 1_500);
        long lapsedMillis = 1_001 + SimulatedPool.LIMITS.leaseExpiryMillis();
        mScheduler.tick(lapsedMillis, lapsedMillis);
        assertEquals(
                List.of(
                        "worker=w run=1 leases lapsed; INHERITED for %d ms, start sent,"
                                        .formatted(lapsedMillis - 1_000)
                                + " not listed by this incarnation; listed=false, list read"
                                + " %d ms ago, owner for %d ms"
                                        .formatted(lapsedMillis - 1_500, lapsedMillis - 1_000)),
                inputs("run lost"));
    }

    @Test
    void lossOfListedWorkerIsLoggedAsSuch() {
        submit(1, false);
        start(100);
        mScheduler.handleWorkerLeft(TestPools.worker(WORKER, 1), RunLossCause.ADDRESS_TAKEN, 300);
        String inputs = inputs("run lost").get(0);
        assertTrue(inputs.contains(" another worker uses the address; "), inputs);
        assertTrue(inputs.endsWith("; listed=true, list not read, owner for 300 ms"), inputs);
    }

    @Test
    void suspectedCrashTellsWhatTheOwnerKnewOfTheWorker() {
        submit(1, false);
        TaskStart start = start(100);
        RunReport.Running running = new RunReport.Running(start.task(), start.run(), "", 10, 0);
        mScheduler.handleReport(
                WORKER, new RunReport(200, 1, List.of(running), List.of()), 199, 200);
        mScheduler.updateWorker(TestPools.worker(WORKER, 2), 300);
        assertEquals(
                List.of(
                        "worker=w run=1 crashes=1 proved=0 conclusive=false; worker restarted,"
                                + " begun, may have left as planned; listed=true, list not read,"
                                + " owner for 300 ms"),
                inputs("crash suspected"));
    }

    private void submit(int tasks, boolean gang) {
        mScheduler.addWorkflow(workflow(tasks, gang), 50);
    }

    private TaskStart start(long nowMillis) {
        return startAll(nowMillis).get(0);
    }

    private List<TaskStart> startAll(long nowMillis) {
        mScheduler.place(nowMillis);
        List<TaskStart> starts = mScheduler.output().takeStarts();
        for (TaskStart start : starts) {
            mScheduler.confirmStart(start, nowMillis);
            mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, nowMillis + 1);
        }
        return starts;
    }

    private void endRun(TaskStart start, EndKind kind, long nowMillis) {
        report(List.of(ended(start, kind)), nowMillis);
    }

    private RunReport.Ended ended(TaskStart start, EndKind kind) {
        mEnds++;
        return new RunReport.Ended(mEnds, start.task(), start.run(), kind, "");
    }

    private void report(List<RunReport.Ended> ended, long nowMillis) {
        mScheduler.handleReport(
                WORKER, new RunReport(nowMillis, 1, List.of(), ended), nowMillis - 1, nowMillis);
    }

    private List<String> inputs(String action) {
        return mScheduler.output().takeDecisions().stream()
                .filter(it -> it.action().equals(action))
                .map(SchedulerOutput.Decision::inputs)
                .toList();
    }

    private static WorkflowSpec workflow(int tasks, boolean gang) {
        return PoolSchedulerTest.workflow(
                WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(tasks, 1_000, 500, gang));
    }
}
