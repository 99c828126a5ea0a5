package org.hyssoprouter.internal.workflow;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Durable state of a workflow, from which a new owner resumes it.
 *
 * @param queue name of the workflow's queue
 * @param state state of the workflow, as reported to callers
 * @param endedOccurrences numbers of the occurrences whose steps are all done; only in rows of an
 *     earlier release
 * @param steps steps that wait or run, with at least one started task
 * @param reason reason of a terminal state, or empty
 * @param begun whether a worker is known to have begun a run; written with the next change of the
 *     workflow only, and false in rows of an earlier release
 * @param ended ranges of occurrences whose steps are all done
 * @param doneSteps steps that are done in occurrences that have not ended
 * @since 0.2
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkflowRow(
        String queue,
        WorkflowState state,
        List<Integer> endedOccurrences,
        List<StepRow> steps,
        String reason,
        boolean begun,
        List<OccurrenceRange> ended,
        List<DoneSteps> doneSteps) {
    /** Length up to which a reason is stored. */
    private static final int MAX_REASON_LENGTH = 2_000;

    /** Replaces the fields that rows of an earlier release lack. */
    public WorkflowRow {
        reason = Objects.requireNonNullElse(reason, "");
        ended = Objects.requireNonNullElse(ended, List.of());
        doneSteps = Objects.requireNonNullElse(doneSteps, List.of());
    }

    /** Creates the row of a workflow of which no run is known to have begun. */
    public WorkflowRow(
            String queue,
            WorkflowState state,
            List<Integer> endedOccurrences,
            List<StepRow> steps,
            String reason) {
        this(queue, state, endedOccurrences, steps, reason, false, List.of(), List.of());
    }

    /** Returns whether a worker has certainly begun a run. */
    boolean hasBegun() {
        return begun
                || !endedOccurrences.isEmpty()
                || !ended.isEmpty()
                || !doneSteps.isEmpty()
                || steps.stream().anyMatch(StepRow::hasBegun);
    }

    /**
     * Range of occurrences.
     *
     * @param first number of the first occurrence
     * @param last number of the last occurrence
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record OccurrenceRange(int first, int last) {}

    /**
     * Steps that are done in each occurrence of a range.
     *
     * @param steps set of the steps; bit I of word W stands for step 64 x W + I
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record DoneSteps(OccurrenceRange occurrences, List<Long> steps) {
        static DoneSteps of(int first, int last, List<Long> steps) {
            return new DoneSteps(new OccurrenceRange(first, last), steps);
        }

        /** Returns the steps below a number that are done. */
        BitSet toBits(int stepCount) {
            BitSet bits = BitSet.valueOf(steps.stream().mapToLong(it -> it).toArray());
            bits.clear(stepCount, Math.max(stepCount, bits.length()));
            return bits;
        }

        /** Joins neighboring ranges with the same steps. */
        static List<DoneSteps> merge(Iterable<DoneSteps> sorted) {
            List<DoneSteps> merged = new ArrayList<>();
            for (DoneSteps next : sorted) {
                int position = merged.size() - 1;
                DoneSteps former = position < 0 ? null : merged.get(position);
                boolean isNeighbor =
                        former != null
                                && former.occurrences().last() == next.occurrences().first() - 1
                                && former.steps().equals(next.steps());
                if (former != null && isNeighbor) {
                    int first = former.occurrences().first();
                    merged.set(position, of(first, next.occurrences().last(), next.steps()));
                } else {
                    merged.add(next);
                }
            }
            return merged;
        }
    }

    /**
     * State of a step.
     *
     * @param occurrence number of the occurrence
     * @param step number of the step
     * @param gangFailures number of failed runs of a gang
     * @param checkpoint checkpoint of a gang, or empty
     * @param tasks tasks that were started at least once
     * @param lastFailedRun number of the last run of a gang that was counted as failed, or 0
     * @param doneBelow number of leading tasks that are done and left out; 0 in rows of an earlier
     *     release
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record StepRow(
            int occurrence,
            int step,
            int gangFailures,
            String checkpoint,
            List<TaskRow> tasks,
            int lastFailedRun,
            int doneBelow) {
        /** Creates the state of a step whose started tasks are all listed. */
        public StepRow(
                int occurrence,
                int step,
                int gangFailures,
                String checkpoint,
                List<TaskRow> tasks,
                int lastFailedRun) {
            this(occurrence, step, gangFailures, checkpoint, tasks, lastFailedRun, 0);
        }

        private boolean hasBegun() {
            return doneBelow > 0
                    || gangFailures > 0
                    || !checkpoint.isEmpty()
                    || tasks.stream().anyMatch(TaskRow::hasBegun);
        }
    }

    /**
     * State of a task.
     *
     * @param index index of the task in its step
     * @param run number of the last run
     * @param failures number of failed runs
     * @param done whether the task is complete
     * @param worker worker on which the last run may be active, or empty
     * @param checkpoint checkpoint, or empty
     * @param crashes number of crashes of workers that runs of the task may have caused
     * @param provedCrashes workers among these that have certainly crashed while a run of the task
     *     was active, with the number of the run and how the owner knew
     * @param begunMillis clock of the store when the accepted start of the last run was sent; 0 if
     *     unknown. It is written at once for tasks that are suspected of crashes, else with the
     *     next change
     * @param incarnationMillis incarnation of the worker that has the last run; 0 if unknown
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record TaskRow(
            int index,
            int run,
            int failures,
            boolean done,
            String worker,
            String checkpoint,
            int crashes,
            List<String> provedCrashes,
            long begunMillis,
            long incarnationMillis) {
        /** Replaces the crashes that rows of an earlier release lack. */
        public TaskRow {
            provedCrashes = Objects.requireNonNullElse(provedCrashes, List.of());
        }

        /**
         * Returns whether this is the row of a task. When a run began does not change, but the
         * relation of the clocks becomes more precise.
         */
        boolean isRowOf(Task task, StoreOffset clock) {
            PoolWorker other = task.mWorker;
            boolean hasBegun = clock.toStoreMillis(task.begunMillis()) != 0;
            return index == task.mKey.index()
                    && run == task.mRun
                    && failures == task.mFailures
                    && done == (task.mPhase == Task.Phase.DONE)
                    && worker.equals(other == null ? "" : other.mId)
                    && (task.mStep.mSpec.gang() || checkpoint.equals(task.mCheckpoint))
                    && crashes == task.mCrashes
                    && provedCrashes.equals(task.mProvedCrashes)
                    && (begunMillis != 0) == hasBegun
                    && incarnationMillis == task.incarnationMillis();
        }

        private boolean hasBegun() {
            return done || failures > 0 || !checkpoint.isEmpty() || !provedCrashes.isEmpty();
        }

        /** Returns this task with another checkpoint. */
        TaskRow withCheckpoint(String other) {
            return new TaskRow(
                    index,
                    run,
                    failures,
                    done,
                    worker,
                    other,
                    crashes,
                    provedCrashes,
                    begunMillis,
                    incarnationMillis);
        }
    }

    /** Returns the row of a workflow whose steps and occurrences are in its parts. */
    static WorkflowRow mainOf(Workflow workflow) {
        return new WorkflowRow(
                workflow.mSpec.queue(),
                workflow.mState,
                List.of(),
                List.of(),
                storedReason(workflow),
                workflow.mBegun,
                List.of(),
                List.of());
    }

    private static String storedReason(Workflow workflow) {
        String reason = workflow.mReason;
        return reason.substring(0, Math.min(MAX_REASON_LENGTH, reason.length()));
    }

    /**
     * Returns the row of a workflow. For a terminal state, it contains only the tasks whose runs
     * still count for the quota of its workspace.
     *
     * @param clock relation of the owner's clock to that of the store
     */
    static WorkflowRow of(Workflow workflow, StoreOffset clock) {
        List<StepRow> steps = new ArrayList<>();
        boolean isFinal = workflow.mState.isFinal();
        for (Step step : workflow.heldSteps()) {
            if (isStored(step)) {
                boolean onlyWithRoom = needsOnlyRoom(step);
                List<TaskRow> tasks = tasksOf(step, onlyWithRoom, clock);
                if (!tasks.isEmpty() || (step.doneBelow() > 0 && !onlyWithRoom)) {
                    steps.add(rowOf(step, tasks));
                }
            }
        }
        return new WorkflowRow(
                workflow.mSpec.queue(),
                workflow.mState,
                List.of(),
                steps,
                storedReason(workflow),
                workflow.mBegun,
                isFinal ? List.of() : workflow.mOccurrences.ended().ranges(0),
                isFinal ? List.of() : workflow.mOccurrences.doneSteps());
    }

    private static StepRow rowOf(Step step, List<TaskRow> tasks) {
        return new StepRow(
                step.mKey.occurrence(),
                step.mKey.step(),
                step.mGangFailures,
                gangCheckpointOf(step),
                tasks,
                step.mLastFailedGangRun,
                step.doneBelow());
    }

    /** Returns the checkpoint of a gang; empty for other steps. */
    static String gangCheckpointOf(Step step) {
        return step.mSpec.gang() ? step.mGangCheckpoint : "";
    }

    private static List<TaskRow> tasksOf(Step step, boolean onlyWithRoom, StoreOffset clock) {
        List<TaskRow> rows = new ArrayList<>();
        for (Task task : step.mTasks) {
            if (isStored(task, onlyWithRoom)) {
                rows.add(rowOf(task, clock));
            }
        }
        return rows;
    }

    /** Returns whether the row of its workflow holds tasks of a step. */
    static boolean isStored(Step step) {
        return !needsOnlyRoom(step) || !step.mWorkflow.mSpec.workspace().isEmpty();
    }

    /**
     * Returns whether a new owner only needs the tasks of a step whose runs still count for the
     * quota of its workspace.
     */
    static boolean needsOnlyRoom(Step step) {
        return step.mWorkflow.mState.isFinal() || step.isDone();
    }

    /**
     * Returns whether the row of its workflow holds a task.
     *
     * @param onlyWithRoom whether its step is done or its workflow is in a terminal state
     */
    static boolean isStored(Task task, boolean onlyWithRoom) {
        return task.mRun > 0 && (task.occupies() || !onlyWithRoom);
    }

    static TaskRow rowOf(Task task, StoreOffset clock) {
        PoolWorker worker = task.mWorker;
        return new TaskRow(
                task.mKey.index(),
                task.mRun,
                task.mFailures,
                task.mPhase == Task.Phase.DONE,
                worker == null ? "" : worker.mId,
                task.mStep.mSpec.gang() ? "" : task.mCheckpoint,
                task.mCrashes,
                List.copyOf(task.mProvedCrashes),
                clock.toStoreMillis(task.begunMillis()),
                task.incarnationMillis());
    }
}
