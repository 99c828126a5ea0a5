package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Counts failed runs, and ends workflows with a task or a gang that has failed as often as the
 * policy of the queue allows. Without a policy, failed runs are counted but end no workflow: the
 * limit is unknown, and nothing is placed. Long-running steps have no limit.
 */
final class AttemptLimits {
    private final PoolState mState;

    AttemptLimits(PoolState state) {
        mState = state;
    }

    /** Counts a failed run. Returns whether the task or its gang has exhausted its attempts. */
    boolean recordFailure(Task task, int run) {
        Step step = task.mStep;
        if (step.mSpec.habits().longRunning()) {
            return false;
        }
        step.mHasFailures = true;
        if (!step.mSpec.gang()) {
            task.mFailures++;
            logFailure(task, run);
        } else if (step.mLastFailedGangRun != run) {
            step.mLastFailedGangRun = run;
            step.mGangFailures++;
            logFailure(task, run);
        }
        return isExhausted(task);
    }

    /**
     * Ends the workflows with a waiting task that may not start again. Attempts are also used up
     * while the policy is unknown, and a configuration may lower the limit.
     */
    void endExhausted(long nowMillis) {
        List<Task> exhausted = new ArrayList<>();
        for (Step step : mState.mWaitingSteps) {
            if (step.mHasFailures) {
                // The members of a gang share their attempts.
                step.mTasks.stream()
                        .filter(it -> it.mPhase == Task.Phase.WAITING)
                        .limit(step.mSpec.gang() ? 1 : Long.MAX_VALUE)
                        .filter(this::isExhausted)
                        .findFirst()
                        .ifPresent(exhausted::add);
            }
        }
        exhausted.forEach(task -> end(task, "", nowMillis));
    }

    /**
     * Ends the workflow of a task that has exhausted its attempts.
     *
     * @param lastRun what is known of the last failed run, for the reason
     */
    void end(Task task, String lastRun, long nowMillis) {
        mState.mOutput.addFailure(FailureCause.ATTEMPTS);
        mState.finishWorkflow(
                task.mStep.mWorkflow,
                WorkflowState.FAILED,
                "%s exhausted its attempts (%s)%s".formatted(task.mKey, describe(task), lastRun),
                nowMillis);
    }

    private void logFailure(Task task, int run) {
        mState.mOutput.recordDecision(
                task.mKey,
                "failure counted",
                "worker=%s run=%d %s".formatted(task.mWorker, run, describe(task)));
    }

    /** Returns the number of failed runs of a task or its gang, and the limit of its queue. */
    private String describe(Task task) {
        int failures = failuresOf(task);
        return mState.policyOf(task.mStep.mWorkflow)
                .map(policy -> "failures=%d of %d".formatted(failures, policy.maxAttempts()))
                .getOrElse("failures=%d, the queue has no policy".formatted(failures));
    }

    private static int failuresOf(Task task) {
        return task.mStep.mSpec.gang() ? task.mStep.mGangFailures : task.mFailures;
    }

    private boolean isExhausted(Task task) {
        Step step = task.mStep;
        int failures = failuresOf(task);
        return !step.mSpec.habits().longRunning()
                && mState.policyOf(step.mWorkflow)
                        .exists(policy -> failures >= policy.maxAttempts());
    }
}
