package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.QueuePolicy;

/** Orders steps by the priority of their queue, then by the age of their workflow. */
final class PriorityOrder implements PlacementOrder {
    @Override
    public Rank rank(Step step, QueuePolicy policy, long nowMillis) {
        return new Rank(policy.priority(), false, step.mWorkflow.mAcceptedMillis);
    }
}
