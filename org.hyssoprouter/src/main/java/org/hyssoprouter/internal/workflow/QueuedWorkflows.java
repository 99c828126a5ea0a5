package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * Workflows that wait for their first start. Scheduled workflows do not count.
 *
 * @since 0.3
 */
public final class QueuedWorkflows {
    private final PoolState mState;

    QueuedWorkflows(PoolState state) {
        mState = state;
    }

    /**
     * Returns the number of workflows of which no run is known to have begun, by queue; 0 for
     * queues all of whose workflows have begun or ended.
     */
    public Map<String, Integer> counts() {
        Map<String, Integer> counts = new HashMap<>();
        for (Workflow workflow : mState.mWorkflows.values()) {
            counts.merge(workflow.mSpec.queue(), isQueued(workflow) ? 1 : 0, Integer::sum);
        }
        return counts;
    }

    /**
     * Returns the number of those that may have begun: a former owner has ordered a run, and its
     * worker has not reported since.
     */
    public int unsettledCount() {
        return (int)
                mState.mWorkflows.values().stream()
                        .filter(it -> isQueued(it) && it.hasInheritedRuns())
                        .count();
    }

    private static boolean isQueued(Workflow workflow) {
        return !workflow.mBegun && !workflow.mState.isFinal() && !workflow.mSpec.hasSchedule();
    }
}
