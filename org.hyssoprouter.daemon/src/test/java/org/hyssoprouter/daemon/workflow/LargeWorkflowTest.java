package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.TableError;
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
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Workflows whose state is larger than a row, and rows that the store refuses. */
class LargeWorkflowTest {
    private static final String LARGE = "1a2b3c4d5e6f7a8b";
    private static final String SMALL = "00000000000000aa";
    private static final Room HUGE = new Room(100_000_000, 1_000_000, 0);
    private static final int TASKS = 10_000;

    /** Tasks of two workflows that are divided soon. */
    private static final int WIDE_TASKS = 2_000;

    /** More tasks than a row of an earlier release holds with its limit. */
    private static final int ROW_TASKS = 1_500;

    private final SteppedExecutor mThread = new SteppedExecutor();
    private final LimitedTable mTable = new LimitedTable();
    private final StoreClock mStoreClock = new StoreClock(mThread);
    private final List<TaskStart> mStarts = new ArrayList<>();
    private final Map<String, WorkflowState> mStates = new HashMap<>();
    private int mRefusedCount;
    private SchedulerFixture mFixture = new SchedulerFixture();
    private PoolScheduler mScheduler = mFixture.scheduler();
    private OwnerCommitter mCommitter = newOwner(1);
    private long mEndCount;

    private OwnerCommitter newOwner(long epoch) {
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

    private void place() {
        mFixture.report(mThread.millis());
        placeAll();
    }

    /** Runs rounds until no task waits; each places a part of a wide step. */
    private void placeAll() {
        for (int i = 0; i <= TASKS / 200; i++) {
            mScheduler.place(mThread.millis());
        }
    }

    private void commit() {
        commit(200);
    }

    private void commit(int rounds) {
        for (int i = 0; i < rounds; i++) {
            mCommitter.commitIfDue();
            mThread.advance(20);
        }
    }

    /** Returns the workflows as a new owner reads them now. */
    private Map<String, FormerWorkflow> readRows() {
        Map<String, FormerWorkflow> workflows = new HashMap<>();
        FormerRunReader reader = new FormerRunReader(workflows::putAll);
        mTable.rows(Schema.RUNS).forEach(reader::onRow);
        reader.onSynced(1, 1);
        return workflows;
    }

    private Set<Integer> storedTasks(String id) {
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

    private void assertStartsAreStored() {
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

    private long startCount(String id) {
        return mStarts.stream().filter(it -> it.task().step().workflow().equals(id)).count();
    }

    private void accept(List<TaskStart> starts) {
        for (TaskStart start : List.copyOf(starts)) {
            mScheduler.handleStartOutcome(start, StartOutcome.ACCEPTED, mThread.millis());
        }
    }

    private void report(List<TaskKey> tasks) {
        List<RunReport.Running> runs = new ArrayList<>();
        tasks.forEach(task -> runs.add(new RunReport.Running(task, 1, "", 1, 0)));
        long nowMillis = mThread.millis();
        RunReport report = new RunReport(nowMillis, 1, runs, List.of());
        mScheduler.handleReport(SchedulerFixture.WORKER, report, nowMillis, nowMillis);
    }

    private void end(List<TaskKey> tasks) {
        List<RunReport.Ended> ends = new ArrayList<>();
        for (TaskKey task : tasks) {
            ends.add(new RunReport.Ended(++mEndCount, task, 1, EndKind.DONE, ""));
        }
        long nowMillis = mThread.millis();
        RunReport report = new RunReport(nowMillis, 1, List.of(), ends);
        mScheduler.handleReport(SchedulerFixture.WORKER, report, nowMillis, nowMillis);
    }

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

    private void takeOver(long epoch) {
        takeOver(epoch, TASKS, LARGE);
    }

    private void takeOver(long epoch, String... ids) {
        takeOver(epoch, WIDE_TASKS, ids);
    }

    private void takeOver(long epoch, int tasks, String... ids) {
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
        for (String id : ids) {
            accepted.onAccepted(SchedulerFixture.workflow(id, tasks, false));
        }
        mThread.advance(0);
        accepted.deleteLeftovers();
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

    private boolean isComplete(String id) {
        FormerWorkflow workflow = readRows().get(id);
        return workflow != null && workflow.row().state() == WorkflowState.COMPLETE;
    }

    /** Writes an undivided row. Returns the tasks in it. */
    private Set<Integer> putRowOfAnEarlierRelease() {
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
        assertEquals(List.of(0), former.row().endedOccurrences());
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

    private static TableError errorOf(TableError.Kind kind) {
        return switch (kind) {
            case REJECTED -> TableError.rejected("bad row");
            case BUSY -> TableError.busy("bad row");
            case UNAVAILABLE -> TableError.unavailable("bad row");
            case UNKNOWN, CONFLICT -> TableError.unknown("bad row");
        };
    }

    private static boolean isRowOf(PartitionTable.Write write, String id) {
        return write.table().equals(Schema.RUNS) && write.name().startsWith(id);
    }

    // Guards against one job that stops all others: the store never accepts its row.
    @ParameterizedTest
    @EnumSource(
            value = TableError.Kind.class,
            names = {"REJECTED", "BUSY", "UNAVAILABLE", "UNKNOWN"})
    void workflowWhoseRowIsRefusedKeepsNoOtherFromRunning(TableError.Kind kind) {
        mTable.refuse((write, commit) -> isRowOf(write, LARGE) ? errorOf(kind) : null);
        mFixture.submit(LARGE, 300, false);
        placeAll();
        for (int i = 0; i < 60; i++) {
            mFixture.submit("small" + i);
        }
        placeAll();
        commit(1_000);
        for (int i = 0; i < 60; i++) {
            assertEquals(1, startCount("small" + i), "small" + i);
        }
        assertEquals(0, startCount(LARGE));
        assertEquals(0, mCommitter.uncommittedStartCount());
        accept(mStarts);
        end(mStarts.stream().map(TaskStart::task).toList());
        commit(1_000);
        assertEquals(WorkflowState.COMPLETE, mStates.get("small59"));
        assertEquals(60, mCommitter.durableEndSequence(SchedulerFixture.WORKER));
        mTable.refuse((write, commit) -> null);
        for (int i = 0; i < 40; i++) {
            place();
            commit(50);
        }
        assertEquals(300, startCount(LARGE));
    }

    // Guards against an owner that takes itself for replaced, or loses starts, as a commit whose
    // answer was lost had taken effect.
    @Test
    void lostAnswersLoseNoStart() {
        for (int lost = 1; lost < 30; lost++) {
            String id = "small" + lost;
            mTable.loseAnswers(lost);
            mFixture.submit(id);
            place();
            commit(5 * lost + 15);
            assertEquals(1, startCount(id), id);
        }
    }

    // Guards against a workflow that is held, as the store was down for all for a while.
    @ParameterizedTest
    @EnumSource(
            value = TableError.Kind.class,
            names = {"BUSY", "UNAVAILABLE", "UNKNOWN"})
    void noWorkflowIsHeldAfterAnOutageOfTheStore(TableError.Kind kind) {
        for (int outage = 3; outage < 40; outage++) {
            int untilCommit = mTable.commitCount() + outage;
            String id = "small" + outage;
            mTable.refuse((write, commit) -> commit < untilCommit ? errorOf(kind) : null);
            mFixture.submit(id);
            place();
            // Commits are repeated after 100 ms.
            commit(5 * outage + 15);
            assertEquals(1, startCount(id), id);
        }
    }

    private static final class IgnoringListener implements AcceptedWorkflows.Listener {
        @Override
        public void onWorkflowsChanged() {}

        @Override
        public void onWorkflowsRead() {}
    }

    private final class RecordingListener implements OwnerCommitter.Listener {
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
