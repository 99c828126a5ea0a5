package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.RunLossCause;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** Decisions of a scheduler are counted by cause. */
class DecisionLoggerTest {
    private static final long NOW_MILLIS = SchedulerFixture.NOW_MILLIS;
    private static final int MAX_INCARNATIONS = 10;

    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final PoolScheduler mScheduler = mFixture.scheduler();
    private final WorkflowMeters mMeters = new WorkflowMeters();
    private final DecisionLogger mLogger = new DecisionLogger(mMeters);

    @Test
    void lostRunIsCountedByCause() {
        placeTask();
        mScheduler.handleWorkerLeft(entry(1), RunLossCause.ADDRESS_TAKEN, NOW_MILLIS);
        log();
        assertCounts("hyssop_runs_lost_total{cause=\"ADDRESS_TAKEN\"} 1");
        assertFalse(mMeters.scrape().contains("hyssop_workflows_failed"));
    }

    @Test
    void lapsedRunIsCountedOnce() {
        placeTask();
        long lapsedMillis = NOW_MILLIS + 60_000;
        mScheduler.tick(lapsedMillis, lapsedMillis);
        log();
        log();
        assertCounts("hyssop_runs_lost_total{cause=\"LAPSED\"} 1");
    }

    @Test
    void failedWorkflowIsCountedByCause() {
        TaskStart start = placeTask();
        for (int i = 1; i <= 3; i++) {
            long endMillis = NOW_MILLIS + 10_000L * i;
            RunReport.Ended end =
                    new RunReport.Ended(i, start.task(), start.run(), EndKind.FAILED, "");
            mScheduler.handleReport(
                    SchedulerFixture.WORKER,
                    new RunReport(endMillis, 1, List.of(), List.of(end)),
                    endMillis,
                    endMillis);
            if (i < 3) {
                start = place(endMillis + 5_000);
            }
        }
        log();
        assertCounts("hyssop_workflows_failed_total{cause=\"ATTEMPTS\"} 1");
        assertFalse(mMeters.scrape().contains("hyssop_runs_lost"));
    }

    @Test
    void workflowThatCrashesItsWorkerIsCountedByCause() {
        TaskStart start = placeTask();
        long nowMillis = NOW_MILLIS;
        for (int incarnation = 2; incarnation < MAX_INCARNATIONS && !isFailed(); incarnation++) {
            report(incarnation - 1, nowMillis + 100, running(start));
            mScheduler.retainListed(List.of(SchedulerFixture.WORKER), nowMillis + 200);
            mScheduler.updateWorker(entry(incarnation), nowMillis + 200);
            report(incarnation, nowMillis + 300);
            nowMillis += 30_000;
            if (!isFailed()) {
                report(incarnation, nowMillis);
                mScheduler.place(nowMillis);
                start = confirm(mScheduler.output().takeStarts().get(0), nowMillis);
            }
        }
        log();
        assertCounts("hyssop_workflows_failed_total{cause=\"CRASHES\"} 1");
        assertCounts("hyssop_workflows_given_up_total{queue=\"batch\"} 1");
        assertTrue(mMeters.scrape().contains("hyssop_runs_lost_total{cause=\"RESTARTED\"}"));
    }

    private boolean isFailed() {
        return mScheduler
                .row(SchedulerFixture.WORKFLOW)
                .exists(it -> it.state() == WorkflowState.FAILED);
    }

    private static RunReport.Running running(TaskStart start) {
        return new RunReport.Running(start.task(), start.run(), "", 10, 0);
    }

    private void report(long incarnation, long nowMillis, RunReport.Running... running) {
        RunReport report = new RunReport(nowMillis, incarnation, List.of(running), List.of());
        mScheduler.handleReport(SchedulerFixture.WORKER, report, nowMillis, nowMillis);
    }

    private TaskStart placeTask() {
        return confirm(mFixture.placeTask(), NOW_MILLIS);
    }

    private TaskStart place(long nowMillis) {
        mFixture.report(nowMillis);
        mScheduler.place(nowMillis);
        return confirm(mScheduler.output().takeStarts().get(0), nowMillis);
    }

    private TaskStart confirm(TaskStart start, long nowMillis) {
        assertTrue(mScheduler.confirmStart(start, nowMillis));
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, nowMillis);
        return start;
    }

    private void log() {
        mLogger.log(mScheduler.output());
    }

    private void assertCounts(String line) {
        String text = mMeters.scrape();
        assertTrue(text.contains(line), text);
    }

    private static WorkerEntry entry(long incarnationMillis) {
        return new WorkerEntry(
                SchedulerFixture.WORKER,
                "pool",
                "w:1",
                "d",
                "r",
                List.of(),
                new Room(1_000, 1, 0),
                false,
                0,
                0,
                incarnationMillis);
    }
}
