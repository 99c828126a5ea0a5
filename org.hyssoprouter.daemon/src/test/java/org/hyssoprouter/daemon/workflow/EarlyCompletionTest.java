package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;

/** What the rows say of ended tasks and workflows, compared with what the worker has done. */
class EarlyCompletionTest {
    private static final int SEEDS = 3;
    private static final int MAX_ROUNDS = 3_000;

    /** Row limit with which a workflow is divided from about 100 started tasks on. */
    private static final int MAX_ROW_BYTES = 4_000;

    /** Tasks of workflows whose rows do not fit into one commit together. */
    private static final int WIDE_TASKS = 1_300;

    private static final int WIDE_WORKFLOWS = 6;

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final StoreClock mStoreClock = new StoreClock(mThread);
    private final Map<String, WorkflowSpec> mSpecs = new LinkedHashMap<>();
    private final Map<String, WorkflowState> mShown = new HashMap<>();
    private final List<TaskStart> mStarts = new ArrayList<>();
    private LimitedTable mTable = new LimitedTable();
    private ScriptedWorker mWorker = new ScriptedWorker(new Random(0));
    private PoolScheduler mScheduler = new SchedulerFixture().scheduler();
    private OwnerCommitter mCommitter = newCommitter();

    private OwnerCommitter newCommitter() {
        return new OwnerCommitter(
                mTable,
                mScheduler,
                mThread,
                mThread,
                new StartListener(),
                new PoolOwnershipConfirmation(mThread, Clock.systemUTC()),
                new OwnerLoadMonitor(mThread, new WorkflowMeters()),
                MAX_ROW_BYTES);
    }

    private void takeOver(long epoch) {
        mCommitter.close();
        mStarts.clear();
        SchedulerFixture fixture = new SchedulerFixture();
        mScheduler = fixture.scheduler();
        mCommitter = newCommitter();
        OwnerRow row = new OwnerRow("a", "run", "127.0.0.1:1", epoch, 0, false);
        mCommitter.begin(row, mTable.putOwner(row));
        fixture.addWorker(LargeWorkflowFixture.HUGE);
        AcceptedWorkflows accepted =
                new AcceptedWorkflows(
                        mScheduler,
                        mCommitter.changes(),
                        new EarlyCancels(mTable, mThread, mThread, mStoreClock),
                        mThread,
                        mThread,
                        mStoreClock,
                        new LargeWorkflowFixture.IgnoringListener());
        accepted.putFormer(readRows());
        mSpecs.values().forEach(accepted::onAccepted);
        mThread.advance(0);
        accepted.deleteLeftovers();
    }

    private Map<String, FormerWorkflow> readRows() {
        Map<String, FormerWorkflow> workflows = new HashMap<>();
        FormerRunReader reader = new FormerRunReader(workflows::putAll);
        mTable.rows(Schema.RUNS).forEach(reader::onRow);
        reader.onSynced(1, 1);
        return workflows;
    }

    private static StepSpec step(int tasks, boolean gang, boolean duplicates, Integer... after) {
        StepSpec plain =
                SchedulerFixture.workflow(SchedulerFixture.WORKFLOW, tasks, gang).steps().get(0);
        return new StepSpec(
                tasks,
                plain.room(),
                plain.estimateMillis(),
                List.of(after),
                gang,
                plain.limits(),
                new StepSpec.Behavior(false, duplicates, false, false, 0, "", 0));
    }

    private void submit(String id, WorkflowSpec.Schedule schedule, StepSpec... steps) {
        String queue = SchedulerFixture.workflow(id, 1, false).queue();
        mSpecs.put(id, new WorkflowSpec(id, queue, "", List.of(steps), schedule));
    }

    private void submitAll() {
        mSpecs.clear();
        for (int i = 0; i < WIDE_WORKFLOWS; i++) {
            submit(
                    "%016x".formatted(i),
                    WorkflowSpec.Schedule.ONCE,
                    step(WIDE_TASKS, false, i % 2 == 1),
                    step(70, true, false, 0));
        }
        submit(
                "%016x".formatted(0xa),
                new WorkflowSpec.Schedule(6, mThread.millis(), 300),
                step(150, false, false),
                step(20, true, false),
                step(3, false, false, 0, 1));
        submit("%016x".formatted(0xb), WorkflowSpec.Schedule.ONCE, step(1, false, false));
        submit("%016x".formatted(0xc), WorkflowSpec.Schedule.ONCE, step(130, true, false));
    }

    /** Compares the rows that were just written with the ends of the worker's runs. */
    private void checkRows() {
        Map<String, WorkflowState> states = new HashMap<>();
        for (PartitionTable.Entry row : mTable.rows(Schema.STATES)) {
            String id = row.key().name();
            byte[] value = row.value();
            if (mSpecs.containsKey(id) && value != null) {
                states.put(id, Schema.decodeState(value).state());
            }
        }
        mShown.forEach(
                (id, former) ->
                        assertTrue(
                                !former.isFinal() || former == states.get(id),
                                id + " was " + former + " and is " + states.get(id)));
        mShown.putAll(states);
        Map<String, FormerWorkflow> rows = readRows();
        mSpecs.forEach(
                (id, spec) -> {
                    FormerWorkflow former = rows.get(id);
                    if (former == null) {
                        assertTrue(!states.containsKey(id), "state without a row: " + id);
                        return;
                    }
                    assertEquals(states.get(id), former.row().state(), id);
                    checkEnds(spec, former.row());
                });
    }

    private void checkEnds(WorkflowSpec spec, WorkflowRow row) {
        if (row.state() == WorkflowState.COMPLETE) {
            for (int i = 0; i < spec.occurrenceCount(); i++) {
                checkOccurrence(spec, i);
            }
        }
        row.endedOccurrences().forEach(it -> checkOccurrence(spec, it));
        for (WorkflowRow.OccurrenceRange range : row.ended()) {
            for (int i = range.first(); i <= range.last(); i++) {
                checkOccurrence(spec, i);
            }
        }
        row.doneSteps().forEach(it -> checkDoneSteps(spec, it));
        for (WorkflowRow.StepRow step : row.steps()) {
            StepKey key = new StepKey(spec.id(), step.occurrence(), step.step());
            checkFirst(key, step.doneBelow());
            step.tasks().stream()
                    .filter(WorkflowRow.TaskRow::done)
                    .forEach(it -> checkDone(new TaskKey(key, it.index())));
        }
    }

    private void checkDoneSteps(WorkflowSpec spec, WorkflowRow.DoneSteps row) {
        WorkflowRow.OccurrenceRange range = row.occurrences();
        for (int i = range.first(); i <= range.last(); i++) {
            for (int step = 0; step < spec.steps().size(); step++) {
                if ((row.steps().get(0) >> step & 1) == 1) {
                    checkFirst(new StepKey(spec.id(), i, step), spec.steps().get(step).taskCount());
                }
            }
        }
    }

    private void checkOccurrence(WorkflowSpec spec, int occurrence) {
        for (int i = 0; i < spec.steps().size(); i++) {
            checkFirst(new StepKey(spec.id(), occurrence, i), spec.steps().get(i).taskCount());
        }
    }

    private void checkFirst(StepKey step, int count) {
        for (int index = 0; index < count; index++) {
            checkDone(new TaskKey(step, index));
        }
    }

    private void checkDone(TaskKey task) {
        assertTrue(mWorker.isDone(task), task + " is stored as done, but has not ended so");
    }

    private boolean isAllComplete() {
        return mSpecs.keySet().stream().allMatch(it -> mShown.get(it) == WorkflowState.COMPLETE);
    }

    // Guards against a workflow that is shown as complete while a task has not ended so: its rows
    // take several commits, the owner is lost after any of them, and answers of the store are lost.
    @Test
    void noWorkflowIsCompleteBeforeItsTasksWhicheverCommitIsTheLast() {
        int divided = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            mTable = new LimitedTable();
            mShown.clear();
            mWorker = new ScriptedWorker(random);
            mThread.advance(10_000);
            submitAll();
            long epoch = 1;
            takeOver(epoch);
            mTable.afterCommit(this::checkRows);
            int round = 0;
            while (!isAllComplete()) {
                assertTrue(++round < MAX_ROUNDS, "seed " + seed + ": " + mShown);
                runRound(random);
                divided += (int) mTable.rows(Schema.RUNS).stream().filter(this::isPart).count();
                if (random.nextInt(6) == 0) {
                    mTable.answerAll();
                    takeOver(++epoch);
                }
            }
            assertEquals(0, mTable.tooLargeCount());
        }
        assertTrue(divided > 0, "rows of divided workflows");
    }

    private boolean isPart(PartitionTable.Entry row) {
        return Schema.isPartKey(row.key().name());
    }

    private void runRound(Random random) {
        if (random.nextInt(3) == 0) {
            mTable.answerOnly(random.nextInt(4));
        }
        if (random.nextInt(3) == 0) {
            mTable.loseAnswers(1 + random.nextInt(3));
        }
        mScheduler.tick(mThread.millis(), mThread.millis());
        mScheduler.place(mThread.millis());
        for (int i = random.nextInt(4); i >= 0; i--) {
            mCommitter.commitIfDue();
            mThread.advance(random.nextInt(150));
        }
        mWorker.startAll(mScheduler, List.copyOf(mStarts), mThread.millis());
        mStarts.clear();
        mWorker.stopAll(mScheduler, mThread.millis());
        mWorker.work(mSpecs);
        mWorker.report(mScheduler, mCommitter, mThread.millis());
        mCommitter.commitIfDue();
        mThread.advance(random.nextInt(30));
    }

    private final class StartListener implements OwnerCommitter.Listener {
        @Override
        public void onStartsDurable(List<TaskStart> starts) {
            mStarts.addAll(starts);
        }

        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {
            states.forEach((id, status) -> assertEquals(mShown.get(id), status.state(), id));
        }

        @Override
        public void onEndsDurable() {}

        @Override
        public void onOwnershipLost(String reason) {
            throw new AssertionError(reason);
        }

        @Override
        public void onCommitsRefused() {}

        @Override
        public void onReleased() {}
    }
}
