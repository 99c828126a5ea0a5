package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.QueuePolicy;

/**
 * Orders steps by the priority of their queue; within a queue, those that can meet the objective of
 * their workflow come before those that will be late. Steps whose result will be too late to be of
 * use come after all others, whatever their priority.
 *
 * <p>Answers bursts and takeovers with a backlog: in the order of age alone, work that is late
 * anyway makes all work behind it late.
 */
final class ObjectiveOrder implements PlacementOrder {
    /** Multiple of the objective after which a result is of no more use. */
    static final int USEFUL_FACTOR = 3;

    /** Number of priorities that are told apart among steps that are too late. */
    private static final int MAX_PRIORITIES = 1_000;

    private final DurationEstimator mDurations;

    ObjectiveOrder(DurationEstimator durations) {
        mDurations = durations;
    }

    @Override
    public Rank rank(Step step, QueuePolicy policy, long nowMillis) {
        Workflow workflow = step.mWorkflow;
        int priority = Math.min(policy.priority(), MAX_PRIORITIES - 1);
        if (workflow.mSpec.hasSchedule() || step.mSpec.habits().longRunning()) {
            return new Rank(priority, false, step.mReadyMillis);
        }
        double objectiveMillis = mDurations.objectiveMillis(workflow, policy.objective());
        double expectedMillis =
                nowMillis - workflow.mAcceptedMillis + mDurations.remainingMillis(step);
        boolean tooLate = expectedMillis > USEFUL_FACTOR * objectiveMillis;
        return new Rank(
                tooLate ? MAX_PRIORITIES + priority : priority,
                expectedMillis > objectiveMillis,
                workflow.mAcceptedMillis);
    }
}
