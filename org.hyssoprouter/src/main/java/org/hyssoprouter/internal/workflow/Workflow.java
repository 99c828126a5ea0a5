package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.jspecify.annotations.Nullable;

/** Workflow and the steps of its open occurrences. */
final class Workflow {
    final WorkflowSpec mSpec;

    /** Time of the acceptance on the owner's clock, in milliseconds. */
    final long mAcceptedMillis;

    final Map<Integer, List<Step>> mOccurrences = new TreeMap<>();
    final TreeSet<Integer> mEndedOccurrences = new TreeSet<>();
    WorkflowState mState = WorkflowState.PENDING;

    /** Whether a worker has begun a run. The state is ACTIVE as soon as a start is decided. */
    boolean mBegun;

    /** Whether no task is placed because the row of the workflow cannot be stored. */
    boolean mHeld;

    String mReason = "";

    /** Expected time to the end by step; null until it is needed. */
    @Nullable CriticalPath mCriticalPath;

    Workflow(WorkflowSpec spec, long acceptedMillis) {
        mSpec = spec;
        mAcceptedMillis = acceptedMillis;
    }

    String id() {
        return mSpec.id();
    }

    /** Opens an occurrence if it is not open yet. Returns its steps. */
    List<Step> openOccurrence(int occurrence) {
        return mOccurrences.computeIfAbsent(
                occurrence,
                number -> {
                    List<Step> steps = new ArrayList<>();
                    for (StepSpec spec : mSpec.steps()) {
                        StepKey key = new StepKey(id(), number, steps.size());
                        steps.add(new Step(this, key, spec));
                    }
                    return steps;
                });
    }

    /** Returns whether an occurrence is open or has ended. */
    boolean hasOpened(int occurrence) {
        return mOccurrences.containsKey(occurrence) || mEndedOccurrences.contains(occurrence);
    }

    /** Returns whether all steps that a step depends on are done. */
    boolean isReady(Step step) {
        List<Step> steps = openOccurrence(step.mKey.occurrence());
        for (int dependency : step.mSpec.after()) {
            if (!steps.get(dependency).isDone()) {
                return false;
            }
        }
        return true;
    }

    List<Step> openSteps() {
        List<Step> all = new ArrayList<>();
        mOccurrences.values().forEach(all::addAll);
        return all;
    }

    /** Closes occurrences whose steps are all done and records them as ended. */
    void closeDoneOccurrences() {
        mOccurrences
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean done = entry.getValue().stream().allMatch(Step::isDone);
                            if (done) {
                                mEndedOccurrences.add(entry.getKey());
                            }
                            return done;
                        });
    }

    /** Returns whether a former owner has ordered a run whose worker has not reported since. */
    boolean hasInheritedRuns() {
        return mOccurrences.values().stream()
                .flatMap(List::stream)
                .anyMatch(step -> step.count(Task.Phase.INHERITED) > 0);
    }

    /** Returns whether all occurrences have ended. */
    boolean isComplete() {
        return mEndedOccurrences.size() >= mSpec.occurrenceCount();
    }
}
