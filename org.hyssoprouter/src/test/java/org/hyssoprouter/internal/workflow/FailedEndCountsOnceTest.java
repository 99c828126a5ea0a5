package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One failed run counts once, however often its end is listed and whichever owner reads it. Two
 * failed runs end the workflow.
 */
class FailedEndCountsOnceTest {
    private static final String WORKFLOW = "a";
    private static final String WORKER = "w";

    private PoolScheduler mScheduler = TestPools.newScheduler(WORKER);
    private WorkflowSpec mSpec = spec(false);
    private long mNowMillis = 100;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endThatIsListedAgainCountsOnce(boolean gang) {
        List<RunReport.Ended> ends = failures(1, submit(gang));
        report(1, ends, true);
        report(1, ends, true);
        report(1, ends, false);
        assertOneFailure(1, ends);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endThatNextOwnerReadsAgainCountsOnce(boolean gang) {
        List<RunReport.Ended> ends = failures(1, submit(gang));
        report(1, ends, false);
        takeOver(row());
        report(1, ends, false);
        assertOneFailure(1, ends);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endWhoseRowWasNotWrittenCountsOnce(boolean gang) {
        List<RunReport.Ended> ends = failures(1, submit(gang));
        WorkflowRow former = row();
        report(1, ends, false);
        takeOver(former);
        report(1, ends, false);
        report(1, ends, false);
        assertOneFailure(1, ends);
    }

    // The row may have been written between the ends of two members or tasks.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endsOfTruncatedListCountOnceAcrossOwners(boolean gang) {
        List<RunReport.Ended> ends = failures(1, submit(gang));
        report(1, ends.subList(0, 1), true);
        takeOver(row());
        report(1, ends.subList(0, 1), true);
        report(1, ends, false);
        takeOver(row());
        report(1, ends, false);
        assertOneFailure(1, ends);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endOfFormerRunIsNotCountedForNextRunOnSameWorker(boolean gang) {
        List<RunReport.Ended> ends = failures(1, submit(gang));
        report(1, ends, false);
        assertEquals(2, start(1).size());
        takeOver(row());
        report(1, ends, true);
        report(1, ends, true);
        assertEquals(WorkflowState.ACTIVE, row().state());
    }

    // A start that was delayed may be carried out, and fail, in the next incarnation.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endInNextIncarnationOfWorkerCountsOnce(boolean gang) {
        List<RunReport.Ended> ends = failures(1, submit(gang));
        report(1, ends, false);
        mScheduler.updateWorker(TestPools.worker(WORKER, 2), mNowMillis);
        report(2, ends, false);
        report(1, ends, false);
        takeOver(row());
        mScheduler.updateWorker(TestPools.worker(WORKER, 2), mNowMillis);
        report(2, ends, false);
        assertOneFailure(2, ends);
    }

    /** Checks that the next failed run, and not an earlier end, ends the workflow. */
    private void assertOneFailure(long incarnation, List<RunReport.Ended> listed) {
        assertEquals(WorkflowState.ACTIVE, row().state());
        List<TaskStart> again = start(incarnation);
        assertEquals(2, again.size());
        report(incarnation, listed, true);
        assertEquals(WorkflowState.ACTIVE, row().state());
        report(incarnation, failures(listed.size() + 1, again), false);
        assertEquals(WorkflowState.FAILED, row().state());
    }

    private List<TaskStart> submit(boolean gang) {
        mSpec = spec(gang);
        mScheduler.addWorkflow(mSpec, mNowMillis);
        return start(1);
    }

    private static WorkflowSpec spec(boolean gang) {
        return PoolSchedulerTest.workflow(
                WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(2, 1_000, 500, gang));
    }

    private WorkflowRow row() {
        return mScheduler.row(WORKFLOW).get();
    }

    private void takeOver(WorkflowRow row) {
        mNowMillis += 100;
        mScheduler = TestPools.newOwner(mNowMillis, WORKER);
        mScheduler.restoreWorkflow(mSpec, row, 0, mNowMillis);
    }

    /** Starts all tasks once the worker is no longer avoided for failed runs. */
    private List<TaskStart> start(long incarnation) {
        mNowMillis += WorkerHealthTracker.MAX_EXCLUSION_MILLIS;
        report(incarnation, List.of(), true);
        mScheduler.place(mNowMillis);
        List<TaskStart> starts = mScheduler.output().takeStarts();
        for (TaskStart start : starts) {
            mScheduler.confirmStart(start, mNowMillis);
            mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mNowMillis);
        }
        return starts;
    }

    private static List<RunReport.Ended> failures(long firstSequence, List<TaskStart> starts) {
        List<RunReport.Ended> ends = new ArrayList<>();
        for (TaskStart start : starts) {
            long sequence = firstSequence + ends.size();
            ends.add(new RunReport.Ended(sequence, start.task(), start.run(), EndKind.FAILED, ""));
        }
        return ends;
    }

    private void report(long incarnation, List<RunReport.Ended> ends, boolean truncated) {
        mNowMillis += 10;
        mScheduler.handleReport(
                WORKER,
                new RunReport(mNowMillis, incarnation, List.of(), ends, truncated),
                mNowMillis - 1,
                mNowMillis);
    }
}
