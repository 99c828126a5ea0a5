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

/** A workflow and the steps of its occurrences that are not over. */
final class Workflow {
    final WorkflowSpec mSpec;
    final long mAddedMillis;
    final Map<Integer, List<Step>> mOccurrences = new TreeMap<>();
    final TreeSet<Integer> mEndedOccurrences = new TreeSet<>();
    WorkflowState mState = WorkflowState.PENDING;
    String mReason = "";

    Workflow(WorkflowSpec spec, long nowMillis) {
        mSpec = spec;
        mAddedMillis = nowMillis;
    }

    String id() {
        return mSpec.id();
    }

    /** Adds the steps of an occurrence that has become due. */
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

    boolean hasOpened(int occurrence) {
        return mOccurrences.containsKey(occurrence) || mEndedOccurrences.contains(occurrence);
    }

    /** Returns whether all earlier steps that a step builds on are done. */
    boolean isReady(Step step) {
        List<Step> siblings = openOccurrence(step.mKey.occurrence());
        for (int earlier : step.mSpec.after()) {
            if (!siblings.get(earlier).isDone()) {
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

    /** Forgets occurrences whose steps are all done. */
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

    boolean isComplete() {
        return mEndedOccurrences.size() >= mSpec.occurrenceCount();
    }
}
