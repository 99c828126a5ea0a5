package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.internal.workspace.WorkspaceShares;
import org.hyssoprouter.lib.Room;

/**
 * Orders the steps of a placement round, below the priority of their queues, by how far their
 * workspaces are above their fair shares of all listed workers. Nothing is stopped for a share, and
 * what one workspace leaves, others use.
 *
 * <p>Answers a workspace that submits many times its usual into a busy pool: by age and objective
 * alone, its surplus is placed before the newer work of all others.
 */
final class ShareOrder {
    private final PoolState mState;
    private final WorkspaceShares mShares;

    ShareOrder(PoolState state) {
        mState = state;
        mShares = new WorkspaceShares(state.mWorkspaces.isEmpty() ? Room.NONE : capacity(state));
        if (!state.mWorkspaces.isEmpty()) {
            state.mUsage.activeWorkspaces().forEach(this::addActive);
            state.mWaitingSteps.forEach(step -> addActive(step.mWorkflow.mSpec.workspace()));
        }
    }

    private static Room capacity(PoolState state) {
        Room capacity = Room.NONE;
        for (PoolWorker worker : state.mWorkers.values()) {
            if (worker.mListed) {
                capacity = capacity.plus(worker.entry().capacity());
            }
        }
        return capacity;
    }

    private void addActive(String workspace) {
        mState.mWorkspaces
                .policyOf(workspace)
                .forEach(policy -> mShares.addActive(workspace, policy.weight()));
    }

    /** Returns how far the workspace of a step is above its share at present; 0 for none. */
    int levelOf(Step step) {
        String workspace = step.mWorkflow.mSpec.workspace();
        return workspace.isEmpty()
                ? 0
                : mShares.levelOf(workspace, mState.mUsage.allocatedTo(workspace));
    }
}
