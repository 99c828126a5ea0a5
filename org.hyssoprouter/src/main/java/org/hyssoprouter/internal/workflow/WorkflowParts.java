package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.jspecify.annotations.Nullable;

/**
 * Divides the durable state of a workflow into parts of bounded size, and joins them again. A part
 * holds a slice of the tasks of one step, the fields of a whole step, or which steps are done in
 * some occurrences. Leading tasks of a step that are done are a number in the part of the step, so
 * that the parts do not grow with the width of the step, but with what runs and waits.
 *
 * @since 0.3
 */
public final class WorkflowParts {
    /** Number of tasks in a slice. */
    static final int TASKS_PER_SLICE = 64;

    private static final char SEPARATOR = '.';

    private final Workflow mWorkflow;
    private final Supplier<StoreOffset> mClock;

    /** Parts that other parts rely on: they must be durable before a row of a slice is deleted. */
    private final Map<String, WorkflowPartRow> mGuards = new LinkedHashMap<>();

    /** Slices with tasks to store, by name of the part. */
    private final Map<String, Slice> mSlices = new LinkedHashMap<>();

    /** Range of positions among the tasks that a step holds. */
    private record Slice(Step step, int from, int to) {
        List<Task> tasks() {
            return step.mTasks.subList(from, to);
        }
    }

    WorkflowParts(Workflow workflow, Supplier<StoreOffset> clock) {
        mWorkflow = workflow;
        mClock = clock;
    }

    /** Returns the name of the part that holds a task. */
    public static String nameOf(TaskKey task) {
        return nameOf(task.step()) + SEPARATOR + task.index() / TASKS_PER_SLICE;
    }

    private static String nameOf(StepKey step) {
        return Integer.toString(step.occurrence()) + SEPARATOR + step.step();
    }

    /** Takes the present state of the workflow, and lets go of leading tasks that are done. */
    public void refresh() {
        mGuards.clear();
        mSlices.clear();
        boolean isFinal = mWorkflow.mState.isFinal();
        // A workflow in a terminal state needs no occurrences, and tasks for a quota only.
        if (!isFinal) {
            mGuards.putAll(
                    ProgressParts.of(mWorkflow.mOccurrences, mWorkflow.mSpec.steps().size()));
        }
        mWorkflow.heldSteps().stream().filter(WorkflowRow::isStored).forEach(this::refresh);
    }

    private void refresh(Step step) {
        boolean onlyWithRoom = WorkflowRow.needsOnlyRoom(step);
        step.dropDone(TASKS_PER_SLICE);
        String checkpoint = WorkflowRow.gangCheckpointOf(step);
        boolean hasFields =
                step.doneBelow() > 0
                        || step.mGangFailures > 0
                        || step.mLastFailedGangRun > 0
                        || !checkpoint.isEmpty();
        if (hasFields && !onlyWithRoom) {
            WorkflowRow.StepRow row =
                    new WorkflowRow.StepRow(
                            step.mKey.occurrence(),
                            step.mKey.step(),
                            step.mGangFailures,
                            checkpoint,
                            List.of(),
                            step.mLastFailedGangRun,
                            step.doneBelow());
            mGuards.put(nameOf(step.mKey), WorkflowPartRow.of(row));
        }
        int size = step.mTasks.size();
        for (int from = 0; from < size; from += TASKS_PER_SLICE) {
            Slice slice = new Slice(step, from, Math.min(size, from + TASKS_PER_SLICE));
            if (slice.tasks().stream().anyMatch(it -> WorkflowRow.isStored(it, onlyWithRoom))) {
                mSlices.put(nameOf(step.mTasks.get(from).mKey), slice);
            }
        }
    }

    /** Returns the names of the parts that rows of slices may be deleted after. */
    public Collection<String> guardNames() {
        return mGuards.keySet();
    }

    /** Returns the names of the parts that hold slices of tasks. */
    public Collection<String> sliceNames() {
        return mSlices.keySet();
    }

    /** Returns a part, or null if there is nothing to store under its name. */
    public @Nullable WorkflowPartRow part(String name) {
        WorkflowPartRow guard = mGuards.get(name);
        Slice slice = mSlices.get(name);
        if (guard != null || slice == null) {
            return guard;
        }
        boolean onlyWithRoom = WorkflowRow.needsOnlyRoom(slice.step());
        List<WorkflowRow.TaskRow> tasks = new ArrayList<>();
        for (Task task : slice.tasks()) {
            if (WorkflowRow.isStored(task, onlyWithRoom)) {
                tasks.add(WorkflowRow.rowOf(task, mClock.get()));
            }
        }
        StepKey key = slice.step().mKey;
        return WorkflowPartRow.of(
                new WorkflowRow.StepRow(key.occurrence(), key.step(), 0, "", tasks, 0));
    }

    /** Returns whether a row holds what a part is to hold. */
    public boolean isStored(String name, @Nullable WorkflowPartRow row) {
        Slice slice = mSlices.get(name);
        if (row == null || slice == null) {
            return row != null && row.equals(mGuards.get(name));
        }
        if (row.steps().size() != 1) {
            return false;
        }
        boolean onlyWithRoom = WorkflowRow.needsOnlyRoom(slice.step());
        StoreOffset clock = mClock.get();
        List<WorkflowRow.TaskRow> rows = row.steps().get(0).tasks();
        int position = 0;
        for (Task task : slice.tasks()) {
            if (!WorkflowRow.isStored(task, onlyWithRoom)) {
                continue;
            }
            if (position == rows.size() || !rows.get(position).isRowOf(task, clock)) {
                return false;
            }
            position++;
        }
        return position == rows.size();
    }

    /**
     * Joins the parts of a workflow. The main row may still hold tasks from before it was divided;
     * what a part says of a task is newer.
     *
     * @param main main row of the workflow
     * @param parts the parts that were read, in any order
     */
    public static WorkflowRow join(WorkflowRow main, Collection<WorkflowPartRow> parts) {
        if (parts.isEmpty()) {
            return main;
        }
        OccurrenceSet ended = new OccurrenceSet();
        main.endedOccurrences().forEach(ended::add);
        main.ended().forEach(ended::add);
        List<WorkflowRow.DoneSteps> doneSteps = new ArrayList<>(main.doneSteps());
        Map<StepKey, JoinedStep> steps = new HashMap<>();
        main.steps().forEach(it -> joined(steps, it).add(it));
        for (WorkflowPartRow part : parts) {
            part.ended().forEach(ended::add);
            doneSteps.addAll(part.doneSteps());
            part.steps().forEach(it -> joined(steps, it).add(it));
        }
        List<WorkflowRow.StepRow> rows = new ArrayList<>();
        steps.forEach(
                (key, step) -> {
                    if (!ended.contains(key.occurrence())) {
                        rows.add(step.toRow(key));
                    }
                });
        return new WorkflowRow(
                main.queue(),
                main.state(),
                List.of(),
                rows,
                main.reason(),
                main.begun(),
                ended.ranges(0),
                doneSteps);
    }

    private static JoinedStep joined(Map<StepKey, JoinedStep> steps, WorkflowRow.StepRow step) {
        return steps.computeIfAbsent(
                new StepKey("", step.occurrence(), step.step()), it -> new JoinedStep());
    }

    /** Step whose slices are joined; later slices replace what earlier ones say. */
    private static final class JoinedStep {
        private final TreeMap<Integer, WorkflowRow.TaskRow> mTasks = new TreeMap<>();
        private int mGangFailures;
        private int mLastFailedRun;
        private int mDoneBelow;
        private String mCheckpoint = "";

        void add(WorkflowRow.StepRow slice) {
            mGangFailures = Math.max(mGangFailures, slice.gangFailures());
            mLastFailedRun = Math.max(mLastFailedRun, slice.lastFailedRun());
            mDoneBelow = Math.max(mDoneBelow, slice.doneBelow());
            if (!slice.checkpoint().isEmpty()) {
                mCheckpoint = slice.checkpoint();
            }
            slice.tasks().forEach(task -> mTasks.put(task.index(), task));
        }

        WorkflowRow.StepRow toRow(StepKey key) {
            return new WorkflowRow.StepRow(
                    key.occurrence(),
                    key.step(),
                    mGangFailures,
                    mCheckpoint,
                    new ArrayList<>(mTasks.tailMap(mDoneBelow).values()),
                    mLastFailedRun,
                    mDoneBelow);
        }
    }
}
