package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What the owner of the pools tells of the numbers of waiting workflows that it publishes. */
class OwnerLoadMonitorTest {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final int LOAD_PUBLISHED = 5018;
    private static final int OWNER_LOAD = 5108;

    private final RecordedLog mLog = new RecordedLog(OwnerLoadMonitor.class);
    private final SteppedExecutor mThread = new SteppedExecutor();
    private final WorkflowMeters mMeters = new WorkflowMeters();
    private final OwnerLoadMonitor mMonitor = new OwnerLoadMonitor(mThread, mMeters);
    private final PoolScheduler mScheduler = new SchedulerFixture().scheduler();
    private final OwnerCommitter mCommitter =
            new OwnerCommitter(
                    new UnansweredTable(),
                    mScheduler,
                    mThread,
                    mThread,
                    new IgnoringListener(),
                    new PoolOwnershipConfirmation(mThread, Clock.systemUTC()),
                    mMonitor,
                    WorkflowSettings.DEFAULT_MAX_ROW_BYTES);

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private void assertMeter(String sample) {
        String text = mMeters.scrape();
        assertTrue(text.contains(sample), text);
    }

    private void commitFirst() {
        mCommitter.begin(new OwnerRow("a", "run", "127.0.0.1:1", 4, 0, false), 1);
        mThread.advance(OwnerCommitter.HEARTBEAT_MILLIS);
        mCommitter.commitIfDue();
    }

    /** Adds a workflow of which a former owner has ordered a run. */
    private void restore(String id) {
        WorkflowRow.TaskRow task =
                new WorkflowRow.TaskRow(0, 1, 0, false, "w", "", 0, List.of(), 0, 0);
        WorkflowRow.StepRow step = new WorkflowRow.StepRow(0, 0, 0, "", List.of(task), 0);
        WorkflowRow row =
                new WorkflowRow("batch", WorkflowState.ACTIVE, List.of(), List.of(step), "");
        mScheduler.restoreWorkflow(SchedulerFixture.workflow(id, 1, false), row, 0, 0);
    }

    // Guards against an owner that goes on committing, but reads no accepted workflow any more:
    // unchanged numbers are not published again, so that E5018 would not show it.
    @Test
    void highestAgeOfAcceptedWorkflowsIsLoggedWithoutPublication() {
        mMonitor.recordAcceptedAge(2_300);
        mMonitor.recordAcceptedAge(40);
        mThread.advance(INTERVAL_MILLIS);
        mMonitor.logIfDue(4, 0);
        assertTrue(
                mLog.lastOf(OWNER_LOAD).endsWith(" acceptedAgeMillis=2300"),
                mLog.lastOf(OWNER_LOAD));
        assertMeter("hyssop_owner_accepted_age_seconds_sum 2.3");
        mMonitor.recordAcceptedAge(50);
        mThread.advance(INTERVAL_MILLIS);
        mMonitor.logIfDue(4, 0);
        assertTrue(
                mLog.lastOf(OWNER_LOAD).endsWith(" acceptedAgeMillis=50"), mLog.lastOf(OWNER_LOAD));
    }

    // Guards against numbers that are old for an unknown reason while a new owner commits.
    @Test
    void commitBeforeTheWorkflowsAreReadIsCountedAsHeld() {
        assertEquals(
                Option.some(PendingChanges.LoadHold.UNOPENED), mCommitter.changes().loadHold());
        commitFirst();
        assertMeter("hyssop_owner_load_held_total{reason=\"UNOPENED\"} 1");
    }

    @Test
    void commitBeforeTheFirstReportsOfWorkersIsCountedAsHeld() {
        restore("a");
        mCommitter.changes().openLoad();
        commitFirst();
        assertMeter("hyssop_owner_load_held_total{reason=\"UNSETTLED\"} 1");
        assertEquals(List.of(), mLog.linesOf(LOAD_PUBLISHED));
    }

    // Guards against numbers that include begun workflows, or lack waiting ones, after a takeover
    // without a trace of it.
    @Test
    void publicationTellsHowManyWorkflowsMayHaveBegun() {
        restore("a");
        mCommitter.changes().openLoad();
        mThread.advance(5_000);
        assertEquals(Option.none(), mCommitter.changes().loadHold());
        commitFirst();
        assertEquals(
                "E5018 \"load published\" epoch=4 waiting=1 acceptedAgeMillis=5400 unsettled=1",
                mLog.lastOf(LOAD_PUBLISHED));
        assertFalse(mMeters.scrape().contains("hyssop_owner_load_held"));
    }

    private static final class IgnoringListener implements OwnerCommitter.Listener {
        @Override
        public void onStartsDurable(List<TaskStart> starts) {}

        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {}

        @Override
        public void onEndsDurable() {}

        @Override
        public void onOwnershipLost(String reason) {}

        @Override
        public void onCommitsRefused() {}

        @Override
        public void onReleased() {}
    }
}
