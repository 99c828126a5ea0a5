package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Rows of a schedule with many occurrences whose owner is lost after any commit. */
class ScheduleRowsTest extends LargeWorkflowFixture {
    private static final int OCCURRENCES = 1_500;
    private static final int FIRST_TASKS = 3;
    private static final long EPOCH_MILLIS = 1_000_000_000_000L;
    private static final int MAX_TURNS = 2_000;

    private final Map<TaskKey, Integer> mStarted = new HashMap<>();

    /** Tasks whose ends a worker has listed, durable or not. */
    private final Set<TaskKey> mListed = new HashSet<>();

    /** Tasks whose ends were acknowledged. */
    private final Set<TaskKey> mAcknowledged = new HashSet<>();

    private int mDividedTurns;

    private static StepSpec step(int tasks, long cpuMillis, boolean gang, Integer... after) {
        return new StepSpec(
                tasks,
                new Room(cpuMillis, 1, 0),
                500,
                List.of(after),
                gang,
                StepSpec.Limits.NONE,
                StepSpec.Behavior.PLAIN);
    }

    private static WorkflowSpec schedule(StepSpec... steps) {
        return new WorkflowSpec(
                LARGE,
                "batch",
                "",
                List.of(steps),
                new WorkflowSpec.Schedule(OCCURRENCES, 0, 1_000));
    }

    private void runTurn(WorkflowSpec spec, Random random, long epoch) {
        mTable.answerOnly(1 + random.nextInt(4));
        for (int i = 0; i < 3; i++) {
            mScheduler.place(mThread.millis());
            commit(2);
        }
        mStarts.forEach(this::checkStart);
        mStarts.clear();
        mTable.answerAll();
        if (random.nextBoolean()) {
            mTable.answerOnly(random.nextInt(8));
        }
        List<TaskKey> running = new ArrayList<>(mStarted.keySet());
        running.removeAll(mAcknowledged);
        Collections.shuffle(running, random);
        List<TaskKey> ending = running.subList(0, Math.min(300, running.size()));
        report(running.subList(ending.size(), running.size()), ending);
        mListed.addAll(ending);
        commit(10);
        boolean isAcknowledged =
                mCommitter.durableEndSequence(SchedulerFixture.WORKER) >= mEndCount;
        if (isAcknowledged) {
            mAcknowledged.addAll(ending);
        }
        mTable.answerAll();
        FormerWorkflow former = readRows().get(LARGE);
        mDividedTurns += former != null && !former.parts().isEmpty() ? 1 : 0;
        if (!isAcknowledged || random.nextInt(3) == 0) {
            takeOver(epoch, List.of(spec));
            mScheduler.tick(mThread.millis(), EPOCH_MILLIS);
            mEndCount = 0;
            List<TaskKey> left = new ArrayList<>(mStarted.keySet());
            left.removeAll(mAcknowledged);
            report(left);
            mScheduler.output().takeStops();
        }
    }

    private void checkStart(TaskStart start) {
        TaskKey task = start.task();
        assertNull(
                mStarted.put(task, start.run()), "started again: " + task + " run " + start.run());
        if (task.step().step() == 0) {
            return;
        }
        for (int index = 0; index < FIRST_TASKS; index++) {
            StepKey first = new StepKey(LARGE, task.step().occurrence(), 0);
            assertTrue(mListed.contains(new TaskKey(first, index)), "started early: " + task);
        }
    }

    private void run(WorkflowSpec spec, int seed, int tasks) {
        Random random = new Random(seed);
        mScheduler.addWorkflow(spec, mThread.millis());
        mScheduler.tick(mThread.millis(), EPOCH_MILLIS);
        for (int turn = 1; mAcknowledged.size() < tasks; turn++) {
            assertTrue(turn < MAX_TURNS, "acknowledged " + mAcknowledged.size());
            runTurn(spec, random, 1 + turn);
        }
        assertTrue(mDividedTurns > 0, "the row was divided");
        assertEquals(tasks, mStarted.size());
        assertEquals(0, mTable.tooLargeCount());
    }

    // Guards against occurrences that run again, or never, as the parts that say which steps are
    // done take several commits.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4})
    void noTaskIsStartedTwiceWhicheverCommitIsTheLast(int seed) {
        int last = 2;
        WorkflowSpec spec = schedule(step(FIRST_TASKS, 1, false), step(last, 1, false, 0));
        run(spec, seed, OCCURRENCES * (FIRST_TASKS + last));
        commit();
        assertTrue(isComplete(LARGE));
    }

    // Guards against rows that grow with the occurrences that wait for a later step, and against
    // first steps that run again as these occurrences are suspended.
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void suspendedOccurrencesTakeFewRows(int seed) {
        StepSpec blocked = step(2, HUGE.cpuMillis(), true, 0);
        run(schedule(step(FIRST_TASKS, 1, false), blocked), seed, OCCURRENCES * FIRST_TASKS);
        commit();
        assertTrue(mTable.rows(Schema.RUNS).size() < 10, "" + mTable.rows(Schema.RUNS).size());
    }
}
