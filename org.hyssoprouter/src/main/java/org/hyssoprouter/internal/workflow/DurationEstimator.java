package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.QueuePolicy;

/**
 * Estimates how long tasks run from the estimates of their submitters and from earlier runs of the
 * same queue. Submitted estimates are wrong by up to 90%, so that the mean of the queue is often
 * the better one.
 */
final class DurationEstimator {
    /** Number of workers in the approval call that an objective accounts for. */
    private static final int OBJECTIVE_APPROVAL_WORKERS = 30;

    /** Weight of a run in the moving average of its queue. */
    private static final double RUN_WEIGHT = 0.05;

    /** Number of runs from which the average of a queue is used. */
    private static final int MIN_RUNS = 20;

    private final PoolState mState;
    private final Map<String, Average> mAverages = new HashMap<>();
    private long mRound;

    /** Durations of the runs of one queue. */
    private static final class Average {
        double mMillis;
        int mRuns;

        void add(long millis) {
            mRuns++;
            double weight = Math.max(RUN_WEIGHT, 1.0 / mRuns);
            mMillis += weight * (millis - mMillis);
        }
    }

    DurationEstimator(PoolState state) {
        mState = state;
    }

    /** Records the duration of a run that completed its task without an interruption. */
    void recordRun(String queue, long millis) {
        mAverages.computeIfAbsent(queue, key -> new Average()).add(millis);
    }

    /** Returns whether enough runs of a step's queue were observed for a good estimate. */
    boolean isKnown(Step step) {
        Average average = mAverages.get(step.mWorkflow.mSpec.queue());
        return average != null && average.mRuns >= MIN_RUNS;
    }

    /** Returns the expected duration of a task of a step, in milliseconds. */
    long taskMillis(Step step) {
        return CriticalPath.taskMillis(step.mSpec, averageMillis(step.mWorkflow));
    }

    /** Returns the expected duration of the longest chain of steps, in milliseconds. */
    long criticalPathMillis(Workflow workflow) {
        return pathOf(workflow).longestMillis();
    }

    /** Returns the time from acceptance in which a workflow is to complete, in milliseconds. */
    double objectiveMillis(Workflow workflow, QueuePolicy.Objective objective) {
        return objective.slackFactor() * criticalPathMillis(workflow) + objective.extraMillis();
    }

    /** Returns the expected time from the start of a step to the end of its workflow. */
    long remainingMillis(Step step) {
        return pathOf(step.mWorkflow).remainingMillis(step.mKey.step());
    }

    /** Begins a placement round; the paths of large workflows are kept for some rounds. */
    void beginRound() {
        mRound++;
    }

    private CriticalPath pathOf(Workflow workflow) {
        CriticalPath.Inputs inputs = inputsOf(workflow);
        CriticalPath path = workflow.mCriticalPath;
        if (path == null || path.isOutdated(inputs, mRound)) {
            path = new CriticalPath(workflow.mSpec.steps(), inputs, mRound);
            workflow.mCriticalPath = path;
        }
        return path;
    }

    private CriticalPath.Inputs inputsOf(Workflow workflow) {
        return new CriticalPath.Inputs(averageMillis(workflow), approvalMillis(workflow));
    }

    /** Returns the mean of the runs of a workflow's queue, or an unknown one while they are few. */
    private double averageMillis(Workflow workflow) {
        Average average = mAverages.get(workflow.mSpec.queue());
        return average == null || average.mRuns < MIN_RUNS
                ? CriticalPath.UNKNOWN_MILLIS
                : average.mMillis;
    }

    private long approvalMillis(Workflow workflow) {
        return mState.policyOf(workflow)
                .flatMap(QueuePolicy::approval)
                .map(it -> (long) it.expectedCallMillis(OBJECTIVE_APPROVAL_WORKERS))
                .getOrElse(0L);
    }
}
