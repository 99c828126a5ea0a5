package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hyssoprouter.lib.workflow.TaskKey;

/**
 * Divides the durable state of a workflow into parts of bounded size, and joins them again. The
 * tasks of all occurrences are numbered through, and each part holds a fixed range of the numbers,
 * so that a change of a task changes one part only.
 *
 * @since 0.3
 */
public final class WorkflowParts {
    /** Number of tasks in a part. */
    static final int TASKS_PER_PART = 64;

    /** Number of occurrences in a part that holds which of them have ended. */
    static final int OCCURRENCES_PER_PART = 4_096;

    private static final String TASKS_PREFIX = "t";
    private static final String OCCURRENCES_PREFIX = "e";

    private final List<Long> mFirstNumbers = new ArrayList<>();
    private final long mTasksPerOccurrence;

    /**
     * Creates the division of a workflow.
     *
     * @param taskCounts number of tasks of each step
     */
    public WorkflowParts(List<Integer> taskCounts) {
        long count = 0;
        for (int tasks : taskCounts) {
            mFirstNumbers.add(count);
            count += tasks;
        }
        mTasksPerOccurrence = count;
    }

    /** Returns the name of the part that holds a task. */
    public String nameOf(TaskKey task) {
        return nameOf(task.step().occurrence(), task.step().step(), task.index());
    }

    private String nameOf(int occurrence, int step, int index) {
        long number = occurrence * mTasksPerOccurrence + mFirstNumbers.get(step) + index;
        return TASKS_PREFIX + number / TASKS_PER_PART;
    }

    /** Returns the parts of a row by name. A workflow in a terminal state needs no occurrences. */
    public Map<String, WorkflowPartRow> split(WorkflowRow row) {
        Map<String, List<WorkflowRow.StepRow>> steps = new HashMap<>();
        for (WorkflowRow.StepRow step : row.steps()) {
            splitStep(step)
                    .forEach(
                            (name, slice) ->
                                    steps.computeIfAbsent(name, it -> new ArrayList<>())
                                            .add(slice));
        }
        Map<String, WorkflowPartRow> parts = new HashMap<>();
        steps.forEach((name, slices) -> parts.put(name, new WorkflowPartRow(slices, List.of())));
        if (!row.state().isFinal()) {
            splitOccurrences(row.endedOccurrences())
                    .forEach(
                            (name, ranges) ->
                                    parts.put(name, new WorkflowPartRow(List.of(), ranges)));
        }
        return parts;
    }

    private Map<String, WorkflowRow.StepRow> splitStep(WorkflowRow.StepRow step) {
        Map<String, List<WorkflowRow.TaskRow>> tasks = new HashMap<>();
        for (WorkflowRow.TaskRow task : step.tasks()) {
            String name = nameOf(step.occurrence(), step.step(), task.index());
            tasks.computeIfAbsent(name, it -> new ArrayList<>()).add(task);
        }
        String first = nameOf(step.occurrence(), step.step(), 0);
        tasks.computeIfAbsent(first, it -> new ArrayList<>());
        Map<String, WorkflowRow.StepRow> slices = new HashMap<>();
        tasks.forEach(
                (name, rows) ->
                        slices.put(
                                name,
                                name.equals(first)
                                        ? step.withTasks(rows)
                                        : WorkflowRow.StepRow.slice(step, rows)));
        return slices;
    }

    private static Map<String, List<WorkflowPartRow.OccurrenceRange>> splitOccurrences(
            List<Integer> ended) {
        Map<String, List<WorkflowPartRow.OccurrenceRange>> parts = new HashMap<>();
        for (int occurrence : new TreeSet<>(ended)) {
            List<WorkflowPartRow.OccurrenceRange> ranges =
                    parts.computeIfAbsent(
                            OCCURRENCES_PREFIX + occurrence / OCCURRENCES_PER_PART,
                            it -> new ArrayList<>());
            int last = ranges.size() - 1;
            if (last >= 0 && ranges.get(last).last() == occurrence - 1) {
                int first = ranges.get(last).first();
                ranges.set(last, new WorkflowPartRow.OccurrenceRange(first, occurrence));
            } else {
                ranges.add(new WorkflowPartRow.OccurrenceRange(occurrence, occurrence));
            }
        }
        return parts;
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
        Set<Integer> ended = new TreeSet<>(main.endedOccurrences());
        for (WorkflowPartRow part : parts) {
            for (WorkflowPartRow.OccurrenceRange range : part.ended()) {
                for (int number = range.first(); number <= range.last(); number++) {
                    ended.add(number);
                }
            }
        }
        Map<List<Integer>, JoinedStep> steps = new HashMap<>();
        main.steps().forEach(it -> joined(steps, it).add(it));
        parts.forEach(part -> part.steps().forEach(it -> joined(steps, it).add(it)));
        List<WorkflowRow.StepRow> rows = new ArrayList<>();
        steps.forEach(
                (key, step) -> {
                    if (!ended.contains(key.get(0))) {
                        rows.add(step.toRow(key.get(0), key.get(1)));
                    }
                });
        return new WorkflowRow(
                main.queue(), main.state(), new ArrayList<>(ended), rows, main.reason());
    }

    private static JoinedStep joined(
            Map<List<Integer>, JoinedStep> steps, WorkflowRow.StepRow step) {
        return steps.computeIfAbsent(
                List.of(step.occurrence(), step.step()), it -> new JoinedStep());
    }

    /** Step whose slices are joined; later slices replace what earlier ones say. */
    private static final class JoinedStep {
        private final Map<Integer, WorkflowRow.TaskRow> mTasks = new TreeMap<>();
        private int mGangFailures;
        private int mLastFailedRun;
        private String mCheckpoint = "";

        void add(WorkflowRow.StepRow slice) {
            mGangFailures = Math.max(mGangFailures, slice.gangFailures());
            mLastFailedRun = Math.max(mLastFailedRun, slice.lastFailedRun());
            if (!slice.checkpoint().isEmpty()) {
                mCheckpoint = slice.checkpoint();
            }
            slice.tasks().forEach(task -> mTasks.put(task.index(), task));
        }

        WorkflowRow.StepRow toRow(int occurrence, int step) {
            return new WorkflowRow.StepRow(
                    occurrence,
                    step,
                    mGangFailures,
                    mCheckpoint,
                    new ArrayList<>(mTasks.values()),
                    mLastFailedRun);
        }
    }
}
