package org.hyssoprouter.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Attempts that are lost with their worker do not count as failures of their task. */
class LostWorkersFailNoJobTest {
    private static final String JOB = "j";
    private static final String WORKER = "w0";

    /** Number of attempts that are allowed by the jobs of the harness. */
    private static final int MAX_ATTEMPTS = 3;

    private static final int LOSSES = 3 * MAX_ATTEMPTS;
    private static final long BACK_OFF_MILLIS = 600_000;

    private final SchedulerHarness mHarness = new SchedulerHarness(1);

    @BeforeEach
    void submit() {
        mHarness.submit(JOB, WorkKind.BATCH, TrafficClass.NORMAL, 1, 1_000);
    }

    @Test
    void attemptsOnSilentWorkerAreNoFailures() {
        for (int i = 0; i < LOSSES; i++) {
            next();
            expireLease();
        }
        assertFailsAfter(MAX_ATTEMPTS);
    }

    @Test
    void attemptsThatRestartedWorkerLacksAreNoFailures() {
        for (int i = 0; i < LOSSES; i++) {
            next();
            mHarness.mRunning.clear();
            report();
        }
        assertFailsAfter(MAX_ATTEMPTS);
    }

    @Test
    void attemptsThatWorkerEndsWithoutLeaseAreNoFailures() {
        for (int i = 0; i < LOSSES; i++) {
            report(next(), TaskReport.State.LEASE_LAPSED);
        }
        assertFailsAfter(MAX_ATTEMPTS);
    }

    @Test
    void failureThatWorkerReportsAgainCountsOnce() {
        AttemptId failed = next();
        for (int i = 0; i < LOSSES; i++) {
            report(failed, TaskReport.State.FAILED);
        }
        assertFailsAfter(MAX_ATTEMPTS - 1);
    }

    @Test
    void failureThatIsReportedAfterLeaseHasExpiredIsNotCounted() {
        for (int i = 0; i < LOSSES; i++) {
            AttemptId lost = next();
            expireLease();
            report(lost, TaskReport.State.FAILED);
        }
        assertFailsAfter(MAX_ATTEMPTS);
    }

    @Test
    void failuresCountOnceInSnapshotWithLosses() {
        report(next(), TaskReport.State.FAILED);
        next();
        expireLease();
        JobScheduler restored = SchedulerHarness.replay(mHarness.mScheduler.snapshotEvents());
        mHarness.mJournal.forEach(event -> restored.apply(event, 0));
        for (int attempt = 3; attempt <= 4; attempt++) {
            assertEquals(
                    JobState.PENDING, restored.view(JOB, mHarness.mNowMillis, "").get().state());
            AttemptId id = new AttemptId(new TaskId(JOB, 0), attempt);
            restored.endAttempt(id, TaskReport.State.FAILED, "", 1, 1);
        }
        assertEquals(JobState.FAILED, restored.view(JOB, mHarness.mNowMillis, "").get().state());
    }

    /** Checks that as many failures, and not fewer, end the job. */
    private void assertFailsAfter(int failures) {
        for (int i = 0; i < failures; i++) {
            AttemptId attempt = next();
            assertEquals(JobState.RUNNING, state());
            report(attempt, TaskReport.State.FAILED);
        }
        assertEquals(JobState.FAILED, state());
    }

    /** Starts the next attempt, and returns it. */
    private AttemptId next() {
        mHarness.mRunning.clear();
        mHarness.mScheduler.setUsable(WORKER, true, mHarness.mNowMillis);
        mHarness.advance(BACK_OFF_MILLIS);
        assertEquals(1, mHarness.mRunning.size());
        return mHarness.mRunning.keySet().iterator().next();
    }

    private void expireLease() {
        mHarness.mScheduler.onLeaseExpired(WORKER, mHarness.mNowMillis, mHarness.mNowMillis);
        mHarness.applyOutput();
    }

    private void report(AttemptId attempt, TaskReport.State state) {
        report(new TaskReport(attempt.task(), attempt.attempt(), state, Room.NONE, "message"));
    }

    private void report(TaskReport... reports) {
        // The worker no longer accepts the starts that were sent before.
        mHarness.mNowMillis++;
        mHarness.mScheduler.reconcile(
                new WorkerStatus(WORKER, mHarness.mNowMillis, List.of(reports)),
                mHarness.mNowMillis,
                mHarness.mNowMillis);
        mHarness.applyOutput();
    }

    private JobState state() {
        return mHarness.view(JOB).state();
    }
}
