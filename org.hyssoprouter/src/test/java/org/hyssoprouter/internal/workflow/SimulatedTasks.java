package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** True durations of simulated tasks, and the work of interrupted runs. */
final class SimulatedTasks {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Map<StepKey, Long> mTaskMillis = new HashMap<>();
    private final Map<TaskKey, Long> mSavedMillis = new HashMap<>();
    private final Map<String, Map<String, Double>> mInterference = new HashMap<>();
    private final Set<TaskKey> mEndedDone = new HashSet<>();
    private ToDoubleFunction<TaskKey> mTaskFactor = task -> 1;
    private long mStopMillis = 100;
    private long mRestoreMillis;
    private long mStoppedCoreMillis;
    private long mWastedCoreMillis;
    private int mInterruptionCount;

    /** Records that a run of a task has ended done, even if nobody learns of it. */
    void recordDone(TaskKey task) {
        mEndedDone.add(task);
    }

    /**
     * Returns a violation for each task of a workflow, shown as complete, that has not ended so.
     */
    List<String> findUnended(Map<String, WorkflowSpec> specs, String workflow) {
        WorkflowSpec spec = Objects.requireNonNull(specs.get(workflow));
        List<String> violations = new ArrayList<>();
        for (int occurrence = 0; occurrence < spec.occurrenceCount(); occurrence++) {
            for (int step = 0; step < spec.steps().size(); step++) {
                StepKey key = new StepKey(spec.id(), occurrence, step);
                for (int index = 0; index < spec.steps().get(step).taskCount(); index++) {
                    TaskKey task = new TaskKey(key, index);
                    if (!mEndedDone.contains(task)) {
                        violations.add("shown as complete before the end of " + task);
                    }
                }
            }
        }
        return violations;
    }

    /** Sets the true duration of the tasks of a step, which differs from its estimate. */
    void setTaskMillis(StepKey step, long millis) {
        mTaskMillis.put(step, millis);
    }

    /** Returns the true duration of the tasks of a step, in milliseconds. */
    long taskMillis(StepKey step, StepSpec spec) {
        return mTaskMillis.getOrDefault(step, spec.estimateMillis());
    }

    /** Sets the factor by which each task takes longer than its step states. */
    void setTaskFactor(ToDoubleFunction<TaskKey> factor) {
        mTaskFactor = factor;
    }

    double taskFactor(TaskKey task) {
        return mTaskFactor.applyAsDouble(task);
    }

    /** Sets the factor by which two images slow each other down on one worker. */
    void setInterference(String image, String other, double factor) {
        mInterference.computeIfAbsent(image, key -> new HashMap<>()).put(other, factor);
        mInterference.computeIfAbsent(other, key -> new HashMap<>()).put(image, factor);
    }

    /** Returns the factor by which an image is slowed down beside others. */
    double slowdown(String image, Collection<String> beside) {
        Map<String, Double> factors = mInterference.getOrDefault(image, Map.of());
        double factor = 1;
        for (String other : beside) {
            factor = Math.max(factor, factors.getOrDefault(other, 1.0));
        }
        return factor;
    }

    /** Sets the time that a stop takes, in milliseconds. */
    void setStopMillis(long millis) {
        mStopMillis = millis;
    }

    long stopMillis() {
        return mStopMillis;
    }

    /** Sets the time that a run takes to resume from a checkpoint, in milliseconds. */
    void setRestoreMillis(long millis) {
        mRestoreMillis = millis;
    }

    /** Returns the time that the next run of a task takes to resume, in milliseconds. */
    long restoreMillis(TaskKey task) {
        return mSavedMillis.containsKey(task) ? mRestoreMillis : 0;
    }

    /** Returns the work of a task that is saved in its last checkpoint, in milliseconds. */
    long savedMillis(TaskKey task) {
        return mSavedMillis.getOrDefault(task, 0L);
    }

    /** Saves the work of an interrupted run, or records it as lost. */
    void recordInterruption(TaskKey task, StepSpec spec, long workedMillis) {
        if (spec.habits().checkpoints()) {
            mSavedMillis.merge(task, workedMillis, Long::sum);
        } else {
            mWastedCoreMillis += spec.room().cpuMillis() / MILLIS_PER_SECOND * workedMillis;
        }
        mInterruptionCount++;
        mStoppedCoreMillis +=
                spec.room().cpuMillis() / MILLIS_PER_SECOND * (mStopMillis + mRestoreMillis);
    }

    /** Returns the core time that stops and resumed runs took, in core-seconds. */
    long stoppedCoreSeconds() {
        return mStoppedCoreMillis / MILLIS_PER_SECOND;
    }

    long wastedCoreSeconds() {
        return mWastedCoreMillis / MILLIS_PER_SECOND;
    }

    int interruptionCount() {
        return mInterruptionCount;
    }
}
