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
    private final SchedulerHarness mDriver = new SchedulerHarness(3);

    @Test
    void serviceIsSpreadAndBatchIsPacked() {
        mDriver.submit("service", WorkKind.SERVICE, TrafficClass.NORMAL, 3, 1_000);
        mDriver.place();
        assertEquals(3, workersOf("service").size());
        mDriver.submit("batch", WorkKind.BATCH, TrafficClass.NORMAL, 3, 1_000);
        mDriver.place();
        assertEquals(1, workersOf("batch").size());
    }

    @Test
    void gangStartsWholeOrNotAtAll() {
        mDriver.submit("gang", WorkKind.GANG, TrafficClass.NORMAL, 4, 3_000);
        mDriver.place();
        assertEquals(0, mDriver.runningCount("gang"));
        assertEquals(new Room(12_000, 12_000, 0), mDriver.mScheduler.fleet().index().totalFree());
        mDriver.submit("small", WorkKind.GANG, TrafficClass.NORMAL, 3, 3_000);
        mDriver.place();
        assertEquals(3, mDriver.runningCount("small"));
    }

    @Test
    void gangIsNotStarvedByASteadyStreamOfSmallJobs() {
        mDriver.submit("fill", WorkKind.BATCH, TrafficClass.NORMAL, 12, 1_000);
        mDriver.place();
        mDriver.submit("gang", "other", WorkKind.GANG, TrafficClass.NORMAL, 3, 4_000, 0);
        for (int i = 0; i < 40 && mDriver.runningCount("gang") == 0; i++) {
            mDriver.submit("small" + i, WorkKind.BATCH, TrafficClass.NORMAL, 1, 1_000);
            AttemptId oldest = mDriver.mRunning.keySet().iterator().next();
            mDriver.endAttempt(oldest, State.SUCCEEDED);
            mDriver.advance(500);
        }
        assertEquals(3, mDriver.runningCount("gang"));
    }

    @Test
    void urgentWorkTakesTheRoomOfBulkBatchWork() {
        mDriver.submit("bulk", WorkKind.BATCH, TrafficClass.BULK, 12, 1_000);
        mDriver.place();
        assertEquals(12, mDriver.runningCount("bulk"));
        mDriver.submit("urgent", WorkKind.BATCH, TrafficClass.URGENT, 1, 2_000);
        mDriver.place();
        mDriver.finishStops();
        mDriver.place();
        assertEquals(1, mDriver.runningCount("urgent"));
        assertEquals(10, mDriver.runningCount("bulk"));
    }

    @Test
    void quotaHoldsWorkBackUntilRoomOfTheCustomerIsFree() {
        mDriver.mQuota = new Room(2_000, 2_000, 0);
        mDriver.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 3, 1_000);
        mDriver.place();
        assertEquals(2, mDriver.runningCount("j"));
        assertTrue(mDriver.view("j").reason().contains("quota"));
        mDriver.endAttempt(mDriver.mRunning.keySet().iterator().next(), State.SUCCEEDED);
        mDriver.place();
        assertEquals(2, mDriver.runningCount("j"));
    }

    @Test
    void usedRoomIsLearnedWhereDeclaredIsTooSmall() {
        mDriver.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 7, 500);
        mDriver.place();
        for (int i = 0; i < 3; i++) {
            AttemptId attempt = mDriver.mRunning.keySet().iterator().next();
            mDriver.endAttempt(attempt, State.FAILED, new Room(3_000, 9_000, 0));
        }
        mDriver.advance(5_000);
        // Learned memory is capped at a whole worker.
        Set<Room> rooms =
                mDriver.mRunning.values().stream()
                        .map(SchedulerHarness.Running::room)
                        .collect(Collectors.toSet());
        assertTrue(rooms.contains(new Room(3_000, 4_000, 0)), rooms.toString());
    }

    @Test
    void workerThatFailsEverythingIsTakenOutAndComesBackOnProbation() {
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
    void jobThatFailsEverywhereTakesNoWorkerOut() {
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
    void jobEndsAsFailedWithItsReasonAfterItsAttempts() {
        mDriver.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 1, 500);
        for (int i = 0; i < 3; i++) {
            mDriver.advance(40_000);
            mDriver.endAttempt(mDriver.mRunning.keySet().iterator().next(), State.FAILED);
        }
        assertEquals(JobState.FAILED, mDriver.view("j").state());
        assertTrue(mDriver.view("j").reason().contains("failed 3 times"));
    }

    @Test
    void onePassPlacesManySmallJobs() {
        for (int i = 0; i < 120; i++) {
            mDriver.submit("j" + i, WorkKind.BATCH, TrafficClass.NORMAL, 1, 100);
        }
        mDriver.place();
        assertEquals(120, mDriver.mRunning.size());
    }

    @Test
    void customersTakeTurns() {
        mDriver.submit("fill", WorkKind.BATCH, TrafficClass.NORMAL, 3, 4_000);
        mDriver.place();
        for (int i = 0; i < 5; i++) {
            mDriver.submit("many" + i, WorkKind.BATCH, TrafficClass.NORMAL, 1, 4_000);
        }
        mDriver.submit("one", "other", WorkKind.BATCH, TrafficClass.NORMAL, 1, 4_000, 0);
        for (int i = 0; i < 2; i++) {
            mDriver.endAttempt(mDriver.mRunning.keySet().iterator().next(), State.SUCCEEDED);
            mDriver.place();
        }
        assertEquals(1, mDriver.runningCount("one"));
    }

    private Set<String> workersOf(String job) {
        return mDriver.mRunning.entrySet().stream()
                .filter(entry -> entry.getKey().task().job().equals(job))
                .map(entry -> entry.getValue().worker())
                .collect(Collectors.toSet());
    }
}
