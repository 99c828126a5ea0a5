package org.hyssoprouter.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport.State;
import org.junit.jupiter.api.Test;

class PlacementPolicyTest {
    private final SchedulerHarness mHarness = new SchedulerHarness(3);

    @Test
    void serviceIsSpreadAndBatchIsPacked() {
        mHarness.submit("service", WorkKind.SERVICE, TrafficClass.NORMAL, 3, 1_000);
        mHarness.place();
        assertEquals(3, workersOf("service").size());
        mHarness.submit("batch", WorkKind.BATCH, TrafficClass.NORMAL, 3, 1_000);
        mHarness.place();
        assertEquals(1, workersOf("batch").size());
    }

    @Test
    void gangIsPlacedWholeOrNotAtAll() {
        mHarness.submit("gang", WorkKind.GANG, TrafficClass.NORMAL, 4, 3_000);
        mHarness.place();
        assertEquals(0, mHarness.runningCount("gang"));
        assertEquals(new Room(12_000, 12_000, 0), mHarness.mScheduler.fleet().index().totalFree());
        mHarness.submit("small", WorkKind.GANG, TrafficClass.NORMAL, 3, 3_000);
        mHarness.place();
        assertEquals(3, mHarness.runningCount("small"));
    }

    @Test
    void streamOfSmallJobsDoesNotStarveGang() {
        mHarness.submit("fill", WorkKind.BATCH, TrafficClass.NORMAL, 12, 1_000);
        mHarness.place();
        mHarness.submit("gang", "other", WorkKind.GANG, TrafficClass.NORMAL, 3, 4_000, 0);
        for (int i = 0; i < 40 && mHarness.runningCount("gang") == 0; i++) {
            mHarness.submit("small" + i, WorkKind.BATCH, TrafficClass.NORMAL, 1, 1_000);
            AttemptId oldest = mHarness.mRunning.keySet().iterator().next();
            mHarness.endAttempt(oldest, State.SUCCEEDED);
            mHarness.advance(500);
        }
        assertEquals(3, mHarness.runningCount("gang"));
    }

    @Test
    void urgentJobPreemptsBulkBatchTasks() {
        mHarness.submit("bulk", WorkKind.BATCH, TrafficClass.BULK, 12, 1_000);
        mHarness.place();
        assertEquals(12, mHarness.runningCount("bulk"));
        mHarness.submit("urgent", WorkKind.BATCH, TrafficClass.URGENT, 1, 2_000);
        mHarness.place();
        mHarness.finishStops();
        mHarness.place();
        assertEquals(1, mHarness.runningCount("urgent"));
        assertEquals(10, mHarness.runningCount("bulk"));
    }

    @Test
    void tasksOverQuotaWaitUntilOthersEnd() {
        mHarness.mQuota = new Room(2_000, 2_000, 0);
        mHarness.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 3, 1_000);
        mHarness.place();
        assertEquals(2, mHarness.runningCount("j"));
        assertTrue(mHarness.view("j").reason().contains("quota"));
        mHarness.endAttempt(mHarness.mRunning.keySet().iterator().next(), State.SUCCEEDED);
        mHarness.place();
        assertEquals(2, mHarness.runningCount("j"));
    }

    @Test
    void measuredUsageReplacesSmallerDeclaredRoom() {
        mHarness.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 7, 500);
        mHarness.place();
        for (int i = 0; i < 3; i++) {
            AttemptId attempt = mHarness.mRunning.keySet().iterator().next();
            mHarness.endAttempt(attempt, State.FAILED, new Room(3_000, 9_000, 0));
        }
        mHarness.advance(5_000);
        // The memory estimate is capped at the capacity of the largest worker.
        Set<Room> rooms =
                mHarness.mRunning.values().stream()
                        .map(SchedulerHarness.Running::room)
                        .collect(Collectors.toSet());
        assertTrue(rooms.contains(new Room(3_000, 4_000, 0)), rooms.toString());
    }

    @Test
    void failingWorkerIsExcludedAndReturnsOnProbation() {
        WorkerHealth health = new WorkerHealth();
        for (int i = 0; i < 4; i++) {
            health.recordOutcome("good", "j", false, true, i);
            health.recordOutcome("bad", "j", true, true, i);
        }
        assertTrue(health.isExcluded("bad", 10));
        assertFalse(health.isExcluded("good", 10));
        assertFalse(health.isExcluded("bad", 60_000));
        assertTrue(health.isOnProbation("bad"));
        health.recordOutcome("bad", "j", false, true, 60_000);
        assertFalse(health.isOnProbation("bad"));
    }

    @Test
    void jobFailingOnAllWorkersExcludesNone() {
        WorkerHealth health = new WorkerHealth();
        for (int i = 0; i < 30; i++) {
            health.recordOutcome("w" + i % 3, "fine", false, true, i);
            health.recordOutcome("w" + i % 3, "broken", true, false, i);
        }
        for (int i = 0; i < 3; i++) {
            assertFalse(health.isExcluded("w" + i, 30));
        }
    }

    @Test
    void jobFailsWithReasonAfterMaxAttempts() {
        mHarness.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 1, 500);
        for (int i = 0; i < 3; i++) {
            mHarness.advance(40_000);
            mHarness.endAttempt(mHarness.mRunning.keySet().iterator().next(), State.FAILED);
        }
        assertEquals(JobState.FAILED, mHarness.view("j").state());
        assertTrue(mHarness.view("j").reason().contains("failed 3 times"));
    }

    @Test
    void onePassPlacesManySmallJobs() {
        for (int i = 0; i < 120; i++) {
            mHarness.submit("j" + i, WorkKind.BATCH, TrafficClass.NORMAL, 1, 100);
        }
        mHarness.place();
        assertEquals(120, mHarness.mRunning.size());
    }

    @Test
    void customersAreServedRoundRobin() {
        mHarness.submit("fill", WorkKind.BATCH, TrafficClass.NORMAL, 3, 4_000);
        mHarness.place();
        for (int i = 0; i < 5; i++) {
            mHarness.submit("many" + i, WorkKind.BATCH, TrafficClass.NORMAL, 1, 4_000);
        }
        mHarness.submit("one", "other", WorkKind.BATCH, TrafficClass.NORMAL, 1, 4_000, 0);
        for (int i = 0; i < 2; i++) {
            mHarness.endAttempt(mHarness.mRunning.keySet().iterator().next(), State.SUCCEEDED);
            mHarness.place();
        }
        assertEquals(1, mHarness.runningCount("one"));
    }

    private Set<String> workersOf(String job) {
        return mHarness.mRunning.entrySet().stream()
                .filter(entry -> entry.getKey().task().job().equals(job))
                .map(entry -> entry.getValue().worker())
                .collect(Collectors.toSet());
    }
}
