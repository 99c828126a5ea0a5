package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.junit.jupiter.api.Test;

/** Workflows whose state is larger than a row. */
class LargeWorkflowTest extends LargeWorkflowFixture {
    // Guards against a job with more started tasks than fit into a row, which stopped all others.
    @Test
    void allTasksOfALargeWorkflowStartBesideOthers() {
        mFixture.submit(LARGE, TASKS, false);
        mFixture.submit(SMALL);
        placeAll();
        mTable.afterCommit(this::assertStartsAreStored);
        commit();
        assertEquals(0, mTable.tooLargeCount());
        assertEquals(TASKS, startCount(LARGE));
        assertEquals(1, startCount(SMALL));
        assertEquals(TASKS, storedTasks(LARGE).size());
        assertEquals(0, mRefusedCount);
    }

    // Guards against a large job that fills each commit, so that another one waits for all of it.
    @Test
    void smallWorkflowWaitsForOneCommitOfALargeOne() {
        mFixture.submit(LARGE, TASKS, false);
        placeAll();
        mFixture.submit(SMALL);
        placeAll();
        mTable.answerOnly(2);
        commit();
        assertEquals(1, startCount(SMALL));
    }

    // Guards against members that wait alone: the rows of a large gang take several commits.
    @Test
    void startsOfALargeGangAreSentTogether() {
        mFixture.submit(LARGE, TASKS, true);
        placeAll();
        mTable.afterCommit(() -> assertTrue(startCount(LARGE) == 0 || startCount(LARGE) == TASKS));
        commit();
        assertEquals(TASKS, startCount(LARGE));
    }

    // Guards against a new owner that starts tasks again, as the former one was lost between two
    // commits of one workflow.
    @Test
    void newOwnerKnowsAllStartsIfTheFormerOneIsLostInBetween() {
        mFixture.submit(LARGE, TASKS, false);
        placeAll();
        mTable.answerOnly(1);
        commit();
        assertTrue(startCount(LARGE) > 0 && startCount(LARGE) < TASKS);
        mTable.answerAll();
        Set<Integer> started = new HashSet<>();
        mStarts.forEach(it -> started.add(it.task().index()));
        takeOver(2);
        assertTrue(storedTasks(LARGE).containsAll(started));
        report(mStarts.stream().map(TaskStart::task).toList());
        mStarts.clear();
        placeAll();
        mTable.afterCommit(this::assertStartsAreStored);
        commit();
        mStarts.forEach(it -> assertFalse(started.contains(it.task().index())));
        assertEquals(TASKS - started.size(), mStarts.size());
        assertEquals(TASKS, storedTasks(LARGE).size());
    }

    // Guards against tasks that run twice, as the owner was lost after any of the commits in which
    // two wide workflows start, run and end.
    @Test
    void noTaskIsStartedTwiceWhicheverCommitIsTheLast() {
        String other = "2b3c4d5e6f7a8b9c";
        mFixture.submit(LARGE, WIDE_TASKS, false);
        mFixture.submit(other, WIDE_TASKS, false);
        Set<TaskKey> ended = new HashSet<>();
        Map<TaskKey, Integer> started = new HashMap<>();
        long epoch = 1;
        for (int last = 1; !isComplete(LARGE) || !isComplete(other); last++) {
            assertTrue(last < 2_000, "both workflows complete");
            mTable.answerOnly(1 + last % 3);
            mScheduler.place(mThread.millis());
            commit(5);
            for (TaskStart start : mStarts) {
                Integer former = started.put(start.task(), start.run());
                assertTrue(former == null, "started again: " + start.task());
            }
            // Ends are reported again until their rows are durable.
            List<TaskKey> running = new ArrayList<>(started.keySet());
            running.removeAll(ended);
            List<TaskKey> ending = running.subList(0, Math.min(150, running.size()));
            mStarts.clear();
            mTable.answerAll();
            mTable.answerOnly(last % 4);
            end(ending);
            mCommitter.commitIfDue();
            mThread.advance(1);
            if (mCommitter.durableEndSequence(SchedulerFixture.WORKER) >= mEndCount) {
                ended.addAll(ending);
            }
            mTable.answerAll();
            List<TaskKey> left = new ArrayList<>(started.keySet());
            left.removeAll(ended);
            takeOver(++epoch, LARGE, other);
            mEndCount = 0;
            report(left);
            mScheduler.output().takeStops();
        }
        assertEquals(2 * WIDE_TASKS, started.size());
        assertEquals(0, mTable.tooLargeCount());
    }

    // Guards against runs that are forgotten while a row of an earlier release is divided.
    @Test
    void rowOfAnEarlierReleaseIsDividedWithoutLoss() {
        Set<Integer> restored = putRowOfAnEarlierRelease();
        takeOver(2);
        placeAll();
        mTable.afterCommit(
                () -> {
                    assertTrue(storedTasks(LARGE).containsAll(restored), "a run is forgotten");
                    assertStartsAreStored();
                });
        commit();
        mStarts.forEach(it -> assertFalse(restored.contains(it.task().index())));
        assertEquals(TASKS - ROW_TASKS, startCount(LARGE));
        assertEquals(0, mTable.tooLargeCount());
    }

    // Guards against a new owner that runs an ended occurrence again: rows of its tasks were
    // deleted
    // before its end was durable.
    @Test
    void rowsOfAnOccurrenceAreDeletedAfterItsEnd() {
        WorkflowSpec wide = SchedulerFixture.workflow(LARGE, TASKS, false);
        WorkflowSpec scheduled =
                new WorkflowSpec(
                        LARGE,
                        wide.queue(),
                        "",
                        wide.steps(),
                        new WorkflowSpec.Schedule(2, 1_000, 1L << 40));
        mScheduler.addWorkflow(scheduled, mThread.millis());
        mScheduler.tick(mThread.millis(), 2_000);
        placeAll();
        commit();
        List<TaskStart> starts = List.copyOf(mStarts);
        assertEquals(TASKS, starts.size());
        accept(starts);
        // The first task ends last, so that all rows are left until then.
        for (int i = 1; i < TASKS; i += 500) {
            List<TaskStart> ended = starts.subList(i, Math.min(TASKS, i + 500));
            end(ended.stream().map(TaskStart::task).toList());
            commit(3);
        }
        end(List.of(starts.get(0).task()));
        mTable.answerOnly(1);
        commit();
        mTable.answerAll();
        FormerWorkflow former = Objects.requireNonNull(readRows().get(LARGE));
        assertEquals(List.of(new WorkflowRow.OccurrenceRange(0, 0)), former.row().ended());
        assertTrue(former.parts().size() > 1, "rows are left to delete");
        commit();
    }

    // Guards against a new owner that knows nothing of starts: their rows were deleted before the
    // final state replaced the undivided row of an earlier release.
    @Test
    void rowsOfStartsAreDeletedAfterTheRowThatReplacesAnUndividedOne() {
        putRowOfAnEarlierRelease();
        takeOver(2);
        mTable.afterCommit(this::assertStartsAreStored);
        mScheduler.place(mThread.millis());
        mTable.answerOnly(1);
        commit();
        mTable.answerAll();
        assertTrue(startCount(LARGE) > 0);
        takeOver(3);
        mScheduler.cancelWorkflow(LARGE, mThread.millis());
        commit();
        assertEquals(WorkflowState.CANCELLED, mStates.get(LARGE));
        assertEquals(1, mTable.rows(Schema.RUNS).size());
    }

    // Guards against rows that are left when their workflow has ended.
    @Test
    void finishedLargeWorkflowLeavesOneRow() {
        mFixture.submit(LARGE, TASKS, false);
        placeAll();
        commit();
        List<TaskStart> starts = List.copyOf(mStarts);
        accept(starts);
        for (int i = 0; i < TASKS; i += 500) {
            end(starts.subList(i, i + 500).stream().map(TaskStart::task).toList());
            commit(3);
        }
        commit();
        assertEquals(WorkflowState.COMPLETE, mStates.get(LARGE));
        assertEquals(1, mTable.rows(Schema.RUNS).size());
        assertEquals(TASKS, mCommitter.durableEndSequence(SchedulerFixture.WORKER));
    }

    // Guards against the same if the owner is lost before it has deleted them.
    @Test
    void newOwnerDeletesRowsOfAFinishedLargeWorkflow() {
        mFixture.submit(LARGE, TASKS, false);
        placeAll();
        commit();
        accept(mStarts);
        end(List.copyOf(mStarts).stream().map(TaskStart::task).toList());
        mTable.answerOnly(1);
        commit();
        assertEquals(WorkflowState.COMPLETE, mStates.get(LARGE));
        assertTrue(mTable.rows(Schema.RUNS).size() > 1);
        mTable.answerAll();
        takeOver(2);
        commit();
        assertEquals(1, mTable.rows(Schema.RUNS).size());
        assertEquals(TASKS, startCount(LARGE));
    }

    // Guards against ends that are never acknowledged while a large workflow changes all the time.
    @Test
    void endsBecomeDurableWhileALargeWorkflowChanges() {
        mFixture.submit(LARGE, TASKS, false);
        placeAll();
        commit();
        List<TaskStart> starts = List.copyOf(mStarts);
        accept(starts);
        for (int i = 0; i < 60; i++) {
            List<TaskKey> ended = new ArrayList<>();
            for (int j = i; j < TASKS; j += 64) {
                ended.add(starts.get(j).task());
            }
            end(ended);
            commit(1);
        }
        assertTrue(
                mCommitter.durableEndSequence(SchedulerFixture.WORKER) > mEndCount / 2,
                "durable " + mCommitter.durableEndSequence(SchedulerFixture.WORKER));
    }
}
