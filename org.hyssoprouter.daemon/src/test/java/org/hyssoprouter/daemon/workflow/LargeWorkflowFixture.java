package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;

/** Owner with a table that has limits, for tests of workflows whose state is large. */
abstract class LargeWorkflowFixture {
    static final String LARGE = "1a2b3c4d5e6f7a8b";
    static final String SMALL = "00000000000000aa";
    static final Room HUGE = new Room(100_000_000, 1_000_000, 0);
    static final int TASKS = 10_000;

    /** Tasks of two workflows that are divided soon. */
    static final int WIDE_TASKS = 2_000;

    /** More tasks than a row of an earlier release holds with its limit. */
    static final int ROW_TASKS = 1_500;

    final SteppedExecutor mThread = new SteppedExecutor();
    final LimitedTable mTable = new LimitedTable();
    final StoreClock mStoreClock = new StoreClock(mThread);
    final List<TaskStart> mStarts = new ArrayList<>();
    final Map<String, WorkflowState> mStates = new HashMap<>();
    int mRefusedCount;
    SchedulerFixture mFixture = new SchedulerFixture();
    PoolScheduler mScheduler = mFixture.scheduler();
    OwnerCommitter mCommitter = newOwner(1);
    long mEndCount;

    OwnerCommitter newOwner(long epoch) {
        OwnerCommitter committer =
                new OwnerCommitter(
                        mTable,
                        mScheduler,
                        mThread,
                        mThread,
                        new RecordingListener(),
                        new PoolOwnershipConfirmation(mThread, Clock.systemUTC()),
                        new OwnerLoadMonitor(mThread, new WorkflowMeters()),
                        LimitedTable.MAX_ROW_BYTES);
        OwnerRow row = new OwnerRow("a", "run", "127.0.0.1:1", epoch, 0, false);
        committer.begin(row, mTable.putOwner(row));
        mFixture.addWorker(HUGE);
        return committer;
    }

    void place() {
        mFixture.report(mThread.millis());
        placeAll();
    }

    /** Runs rounds until no task waits; each places a part of a wide step. */
    void placeAll() {
        for (int i = 0; i <= TASKS / 200; i++) {
            mScheduler.place(mThread.millis());
        }
    }

    void commit() {
        commit(200);
    }

    void commit(int rounds) {
        for (int i = 0; i < rounds; i++) {
            mCommitter.commitIfDue();
            mThread.advance(20);
        }
    }

    /** Returns the workflows as a new owner reads them now. */
    Map<String, FormerWorkflow> readRows() {
        Map<String, FormerWorkflow> workflows = new HashMap<>();
        FormerRunReader reader = new FormerRunReader(workflows::putAll);
        mTable.rows(Schema.RUNS).forEach(reader::onRow);
        reader.onSynced(1, 1);
        return workflows;
    }

    Set<Integer> storedTasks(String id) {
        Set<Integer> indexes = new HashSet<>();
        FormerWorkflow workflow = readRows().get(id);
        if (workflow != null) {
            for (WorkflowRow.StepRow step : workflow.row().steps()) {
                step.tasks().forEach(it -> indexes.add(it.index()));
                for (int index = 0; index < step.doneBelow(); index++) {
                    indexes.add(index);
                }
            }
        }
        return indexes;
    }

    void assertStartsAreStored() {
        FormerWorkflow workflow = readRows().get(LARGE);
        if (workflow != null && workflow.row().state().isFinal()) {
            return;
        }
        Set<Integer> stored = storedTasks(LARGE);
        for (TaskStart start : mStarts) {
            if (start.task().step().workflow().equals(LARGE)) {
                assertTrue(stored.contains(start.task().index()), "start " + start.task());
            }
        }
    }

    long startCount(String id) {
        return mStarts.stream().filter(it -> it.task().step().workflow().equals(id)).count();
    }

    void accept(List<TaskStart> starts) {
        for (TaskStart start : List.copyOf(starts)) {
            mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mThread.millis());
        }
    }

    void report(List<TaskKey> tasks) {
        report(tasks, List.of());
    }

    void end(List<TaskKey> tasks) {
        report(List.of(), tasks);
    }

    void report(List<TaskKey> running, List<TaskKey> ended) {
        List<RunReport.Running> runs = new ArrayList<>();
        running.forEach(task -> runs.add(new RunReport.Running(task, 1, "", 1, 0)));
        List<RunReport.Ended> ends = new ArrayList<>();
        for (TaskKey task : ended) {
            ends.add(new RunReport.Ended(++mEndCount, task, 1, EndKind.DONE, ""));
        }
        long nowMillis = mThread.millis();
        RunReport report = new RunReport(nowMillis, 1, runs, ends);
        mScheduler.handleReport(SchedulerFixture.WORKER, report, nowMillis, nowMillis);
    }

    void takeOver(long epoch) {
        takeOver(epoch, TASKS, LARGE);
    }

    void takeOver(long epoch, String... ids) {
        takeOver(epoch, WIDE_TASKS, ids);
    }

    void takeOver(long epoch, int tasks, String... ids) {
        List<WorkflowSpec> specs = new ArrayList<>();
        for (String id : ids) {
            specs.add(SchedulerFixture.workflow(id, tasks, false));
        }
        takeOver(epoch, specs);
    }

    void takeOver(long epoch, List<WorkflowSpec> specs) {
        mCommitter.close();
        mFixture = new SchedulerFixture();
        mScheduler = mFixture.scheduler();
        mCommitter = newOwner(epoch);
        AcceptedWorkflows accepted =
                new AcceptedWorkflows(
                        mScheduler,
                        mCommitter.changes(),
                        new EarlyCancels(mTable, mThread, mThread, mStoreClock),
                        mThread,
                        mThread,
                        mStoreClock,
                        new IgnoringListener());
        accepted.putFormer(readRows());
        specs.forEach(accepted::onAccepted);
        mThread.advance(0);
        accepted.deleteLeftovers();
    }

    boolean isComplete(String id) {
        FormerWorkflow workflow = readRows().get(id);
        return workflow != null && workflow.row().state() == WorkflowState.COMPLETE;
    }

    /** Writes an undivided row. Returns the tasks in it. */
    Set<Integer> putRowOfAnEarlierRelease() {
        List<WorkflowRow.TaskRow> tasks = new ArrayList<>();
        for (int i = 0; i < ROW_TASKS; i++) {
            // Spread over more parts than one commit holds.
            int index = i * (TASKS / ROW_TASKS);
            tasks.add(
                    new WorkflowRow.TaskRow(
                            index, 3, 0, false, SchedulerFixture.WORKER, "", 0, List.of(), 0, 0));
        }
        WorkflowRow former =
                new WorkflowRow(
                        "batch",
                        WorkflowState.ACTIVE,
                        List.of(),
                        List.of(new WorkflowRow.StepRow(0, 0, 0, "", tasks, 0)),
                        "");
        byte[] row = MessageCodec.encode(former);
        assertTrue(row.length <= LimitedTable.MAX_ROW_BYTES, "row of " + row.length + " bytes");
        mTable.put(Schema.RUNS, Schema.POOLS_PARTITION, LARGE, row);
        Set<Integer> indexes = new HashSet<>();
        tasks.forEach(it -> indexes.add(it.index()));
        return indexes;
    }

    static final class IgnoringListener implements AcceptedWorkflows.Listener {
        @Override
        public void onWorkflowsChanged() {}

        @Override
        public void onWorkflowsRead() {}
    }

    final class RecordingListener implements OwnerCommitter.Listener {
        @Override
        public void onStartsDurable(List<TaskStart> starts) {
            mStarts.addAll(starts);
        }

        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {
            states.forEach((id, status) -> mStates.put(id, status.state()));
        }

        @Override
        public void onEndsDurable() {}

        @Override
        public void onOwnershipLost(String reason) {
            throw new AssertionError(reason);
        }

        @Override
        public void onCommitsRefused() {
            mRefusedCount++;
        }

        @Override
        public void onReleased() {}
    }
}
