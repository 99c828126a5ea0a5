package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.jspecify.annotations.Nullable;

/** Workflow and the steps of its open occurrences. */
final class Workflow {
    final WorkflowSpec mSpec;

    /** Time of the acceptance on the owner's clock, in milliseconds. */
    final long mAcceptedMillis;

    final Occurrences mOccurrences = new Occurrences(this);

    private int mWaitingCount;

    /** Number of queued steps of all occurrences of a schedule, by the number of the step. */
    private final Map<Integer, Integer> mWaitingByStep = new HashMap<>();

    WorkflowState mState = WorkflowState.PENDING;

    /** Whether a worker has begun a run. The state is ACTIVE as soon as a start is decided. */
    boolean mBegun;

    /** Number of tasks whose current run is active or may become so. */
    private int mActiveRuns;

    /** Whether no task is placed because the row of the workflow cannot be stored. */
    boolean mHeld;

    String mReason = "";

    /** Kinds of the tasks of the steps that have run so far. */
    private final Map<Integer, String> mKinds = new HashMap<>();

    private @Nullable StepGraph mGraph;

    /** Expected time to the end by step; null until it is needed. */
    @Nullable CriticalPath mCriticalPath;

    Workflow(WorkflowSpec spec, long acceptedMillis) {
        mSpec = spec;
        mAcceptedMillis = acceptedMillis;
    }

    String id() {
        return mSpec.id();
    }

    /** Returns the dependencies between the steps. */
    StepGraph graph() {
        if (mGraph == null) {
            mGraph = new StepGraph(mSpec.steps());
        }
        return mGraph;
    }

    /** Returns the name of the kind of a step's tasks. */
    String kindOf(int step) {
        return mKinds.computeIfAbsent(
                step, it -> TaskKinds.nameOf(mSpec.queue(), mSpec.steps().get(it)));
    }

    /** Returns the steps that depend on no other one. */
    int[] roots() {
        return graph().readySteps(new BitSet());
    }

    /** Returns the held steps of all open occurrences. */
    List<Step> heldSteps() {
        List<Step> all = new ArrayList<>();
        mOccurrences.open().forEach(occurrence -> all.addAll(occurrence.steps()));
        return all;
    }

    /** Counts a step that is queued, or is not any more. */
    void countQueued(Step step, int difference) {
        mWaitingCount += difference;
        if (mSpec.hasSchedule()) {
            mWaitingByStep.merge(step.mKey.step(), difference, Integer::sum);
        }
    }

    /** Returns the number of queued steps of all occurrences. */
    int queuedCount() {
        return mWaitingCount;
    }

    /** Returns in how many occurrences of a schedule a step is queued. */
    int queuedCount(int step) {
        return mWaitingByStep.getOrDefault(step, 0);
    }

    void countActiveRuns(int difference) {
        mActiveRuns += difference;
    }

    /** Returns the number of tasks whose current run is active or may become so. */
    int activeRuns() {
        return mActiveRuns;
    }

    /** Returns whether a former owner has ordered a run whose worker has not reported since. */
    boolean hasInheritedRuns() {
        return heldSteps().stream().anyMatch(step -> step.count(Task.Phase.INHERITED) > 0);
    }

    /** Returns whether all occurrences have ended. */
    boolean isComplete() {
        return mOccurrences.endedCount() >= mSpec.occurrenceCount();
    }
}
