package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** A workflow fails only after crashes of workers under its task that are certain. */
class CrashProofTest {
    private static final String WORKFLOW = "a";
    private static final int LOSSES = 6;

    /** Longer than the announcement and the departure of a worker take. */
    private static final long UNREAD_MILLIS = 5_000;

    private static final long LAPSE_MILLIS = 10_000;
    private static final long STEP_MILLIS = 200;

    private final Map<String, WorkerEntry> mListed = new TreeMap<>();
    private final WorkflowSpec mSpec =
            PoolSchedulerTest.workflow(
                    WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(1, 4_000, 50_000, false));
    private PoolScheduler mScheduler = TestPools.newOwner(0);
    private long mNowMillis;
    private int mWorkerCount;

    CrashProofTest() {
        addWorker();
        addWorker();
        mScheduler.addWorkflow(mSpec, 0);
    }

    // Shows that the other tests can fail.
    @Test
    void twoProvedCrashesFailTheWorkflow() {
        for (int i = 0; i < CrashTracker.MAX_CONCLUSIVE_CRASHES; i++) {
            assertNotFailed();
            restartUnderIdentifier(begin());
        }
        assertEquals(WorkflowState.FAILED, state());
    }

    @Test
    void otherWorkersAtTheAddressesOfCrashedOnesFailTheWorkflow() {
        for (int i = 0; i < CrashTracker.MAX_CONCLUSIVE_CRASHES; i++) {
            assertNotFailed();
            TaskStart run = begin();
            pass(2_000);
            leave(run);
        }
        assertEquals(WorkflowState.FAILED, state());
    }

    @Test
    void workerTakenAwayWhileTheListIsNotReadDoesNotCount() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = begin();
            mNowMillis += UNREAD_MILLIS;
            leave(run);
            assertNothingProved();
        }
        assertNotFailed();
    }

    @Test
    void workerFoundMissingAfterTheListWasNotReadDoesNotCount() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = begin();
            WorkerEntry entry = unlist(run);
            mNowMillis += UNREAD_MILLIS;
            readList();
            pass(400);
            mScheduler.handleWorkerLeft(entry, RunLossCause.ADDRESS_TAKEN, mNowMillis);
            addWorker();
            assertNothingProved();
        }
        assertNotFailed();
    }

    @Test
    void successorReportedWhileTheListIsNotReadDoesNotCount() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = begin();
            mNowMillis += UNREAD_MILLIS;
            restartUnderIdentifier(run);
            assertNothingProved();
        }
        assertNotFailed();
    }

    @Test
    void successorListedAfterTheListWasNotReadDoesNotCount() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = begin();
            mNowMillis += UNREAD_MILLIS;
            listSuccessorAndReport(run);
            assertNothingProved();
        }
        assertNotFailed();
    }

    // Guards against a departure that is judged by the entry of the successor.
    @Test
    void successorListedBeforeItReportsThatRunIsLostDoesNotCount() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = accept(place());
            mNowMillis += UNREAD_MILLIS;
            listSuccessorAndReport(run);
            assertNothingProved();
        }
        assertNotFailed();
    }

    @Test
    void successorOfDrainingWorkerListedBeforeItsReportDoesNotCount() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = accept(place());
            drain(run);
            pass(1_000);
            listSuccessorAndReport(run);
            assertNothingProved();
        }
        assertNotFailed();
    }

    @Test
    void leasesOnWorkersThatNewOwnersNeverSawListedDoNotCount() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = begin();
            unlist(run);
            replaceOwner();
            pass(LAPSE_MILLIS);
            addWorker();
            assertNothingProved();
        }
        assertNotFailed();
    }

    @Test
    void restartAfterUnansweredStartDoesNotProveCrash() {
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = place();
            mScheduler.handleStartOutcome(run, StartOutcome.UNKNOWN, mNowMillis);
            pass(STEP_MILLIS);
            restartUnderIdentifier(run);
            confirmStop(run);
            assertNothingProved();
        }
        assertNotFailed();
    }

    @Test
    void restartAfterAcceptedOrListedStartProvesCrash() {
        TaskStart accepted = accept(place());
        pass(STEP_MILLIS);
        restartUnderIdentifier(accepted);
        assertEquals(1, provedCrashes());
        restartUnderIdentifier(begin());
        assertEquals(2, provedCrashes());
    }

    @Test
    void runThatStaysAllocatedAfterItsLossCountsOnce() {
        TaskStart run = place();
        mScheduler.markStartUnanswered(run);
        accept(run);
        for (int i = 0; i < LOSSES; i++) {
            pass(STEP_MILLIS);
            restartUnderIdentifier(run);
            assertEquals(1, provedCrashes());
        }
        assertNotFailed();
    }

    // Guards against an answer of the former incarnation that arrives after the loss.
    @Test
    void lateAnswerToStartThatWasLostDoesNotProveAnotherCrash() {
        TaskStart run = accept(place());
        mScheduler.markStartUnanswered(run);
        for (int i = 0; i < LOSSES; i++) {
            pass(STEP_MILLIS);
            restartUnderIdentifier(run);
            accept(run);
            assertEquals(1, provedCrashes());
        }
        assertNotFailed();
    }

    @Test
    void lapsesBeforeOneCrashDoNotCount() {
        for (int i = 0; i < 2; i++) {
            TaskStart run = begin();
            unlist(run);
            pass(LAPSE_MILLIS);
            addWorker();
        }
        restartUnderIdentifier(begin());
        assertEquals(1, provedCrashes());
        assertNotFailed();
    }

    @Test
    void oneCrashAmongWorkersTakenAwayDoesNotFailTheWorkflow() {
        restartUnderIdentifier(begin());
        for (int i = 0; i < LOSSES; i++) {
            TaskStart run = begin();
            mNowMillis += UNREAD_MILLIS;
            leave(run);
            assertEquals(1, provedCrashes());
        }
        assertNotFailed();
    }

    @Test
    void twoCrashesWithoutConclusionDoNotFailTheWorkflow() {
        for (int i = 1; i <= 2; i++) {
            TaskStart run = begin();
            pass(CrashTracker.TRIAL_MILLIS);
            reportRunning(run);
            restartUnderIdentifier(run);
            assertEquals(i, provedCrashes());
        }
        assertNotFailed();
    }

    @Test
    void workerListedAgainBeforeItsLeasesLapseDoesNotCount() {
        TaskStart run = begin();
        for (int i = 0; i < LOSSES; i++) {
            WorkerEntry entry = unlist(run);
            mScheduler.markUnlisted(run.workerId());
            pass(3_000);
            list(entry);
            reportRunning(run);
            pass(STEP_MILLIS);
            assertNothingProved();
        }
        assertNotFailed();
        assertEquals(run.run(), taskRow().run());
    }

    // Guards against a run of a former owner that counts as begun although it was never sent.
    @Test
    void runThatFormerOwnersNeverSentProvesNoCrash() {
        for (int i = 0; i < LOSSES; i++) {
            assertNotFailed();
            pass(STEP_MILLIS);
            TaskStart run = placeWithoutSending();
            replaceOwner();
            pass(STEP_MILLIS);
            restartUnderIdentifier(run);
            assertNothingProved();
        }
        assertNotFailed();
    }

    /** Begins a run that a report lists. */
    private TaskStart begin() {
        TaskStart run = accept(place());
        pass(STEP_MILLIS);
        reportRunning(run);
        return run;
    }

    private TaskStart place() {
        TaskStart start = placeWithoutSending();
        assertTrue(mScheduler.confirmStart(start, mNowMillis));
        return start;
    }

    private TaskStart placeWithoutSending() {
        assertNotFailed();
        readList();
        mListed.values().forEach(it -> report(it, List.of()));
        mScheduler.output().takeStarts();
        mScheduler.place(mNowMillis);
        List<TaskStart> starts = mScheduler.output().takeStarts();
        assertEquals(1, starts.size());
        return starts.get(0);
    }

    private TaskStart accept(TaskStart start) {
        mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mNowMillis);
        return start;
    }

    /** Lets time pass while the list is read. */
    private void pass(long millis) {
        for (long untilMillis = mNowMillis + millis; mNowMillis < untilMillis; ) {
            mNowMillis = Math.min(untilMillis, mNowMillis + STEP_MILLIS);
            readList();
            mScheduler.tick(mNowMillis, mNowMillis);
        }
    }

    private void readList() {
        mScheduler.retainListed(mListed.keySet(), mNowMillis);
    }

    private void addWorker() {
        list(TestPools.worker("w" + mWorkerCount++, 1));
    }

    private void list(WorkerEntry entry) {
        mListed.put(entry.id(), entry);
        mScheduler.updateWorker(entry, mNowMillis);
    }

    private WorkerEntry unlist(TaskStart run) {
        WorkerEntry entry = entryOf(run);
        mListed.remove(entry.id());
        return entry;
    }

    private void drain(TaskStart run) {
        WorkerEntry entry = entryOf(run);
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
                        entry.incarnationMillis()));
    }

    /** Lets another worker take the address of a run's worker. */
    private void leave(TaskStart run) {
        WorkerEntry entry = unlist(run);
        mScheduler.handleWorkerLeft(entry, RunLossCause.ADDRESS_TAKEN, mNowMillis);
        addWorker();
    }

    private WorkerEntry successorOf(TaskStart run) {
        return TestPools.worker(run.workerId(), entryOf(run).incarnationMillis() + 1);
    }

    /** Lets the next incarnation of a run's worker send its first report, and lists it then. */
    private void restartUnderIdentifier(TaskStart run) {
        WorkerEntry successor = successorOf(run);
        mNowMillis += STEP_MILLIS;
        report(successor, List.of());
        list(successor);
    }

    private void listSuccessorAndReport(TaskStart run) {
        WorkerEntry successor = successorOf(run);
        list(successor);
        pass(STEP_MILLIS);
        report(successor, List.of());
    }

    private WorkerEntry entryOf(TaskStart run) {
        return Objects.requireNonNull(mListed.get(run.workerId()));
    }

    private void reportRunning(TaskStart run) {
        report(entryOf(run), List.of(new RunReport.Running(run.task(), run.run(), "", 100, 0)));
    }

    private void report(WorkerEntry worker, List<RunReport.Running> running) {
        mScheduler.handleReport(
                worker.id(),
                new RunReport(mNowMillis, worker.incarnationMillis(), running, List.of()),
                mNowMillis,
                mNowMillis);
        mScheduler.grantLease(worker.id(), mNowMillis);
    }

    /** Confirms the stop of a run whose start might be carried out late. */
    private void confirmStop(TaskStart run) {
        List<TaskStop> stops = mScheduler.output().takeStops();
        TaskStop stop = stops.get(stops.size() - 1);
        mScheduler.handleStopReply(stop, true, mNowMillis + 1, mNowMillis + 1);
        pass(STEP_MILLIS);
        report(entryOf(run), List.of());
    }

    private void replaceOwner() {
        WorkflowRow row = mScheduler.row(WORKFLOW).get();
        mScheduler = TestPools.newOwner(mNowMillis);
        mListed.values().forEach(it -> mScheduler.updateWorker(it, mNowMillis));
        readList();
        mScheduler.restoreWorkflow(mSpec, row, 0, mNowMillis);
    }

    private WorkflowRow.TaskRow taskRow() {
        return mScheduler.row(WORKFLOW).get().steps().get(0).tasks().get(0);
    }

    private int provedCrashes() {
        return taskRow().provedCrashes().size();
    }

    private void assertNothingProved() {
        assertEquals(List.of(), taskRow().provedCrashes());
    }

    private WorkflowState state() {
        return mScheduler.row(WORKFLOW).get().state();
    }

    private void assertNotFailed() {
        assertNotEquals(WorkflowState.FAILED, state(), mScheduler.row(WORKFLOW).get().reason());
    }
}
