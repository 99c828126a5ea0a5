package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.internal.workspace.Quota;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;

/**
 * Limits the tasks that a placement round may place to what the quotas of their workspaces leave.
 * All tasks of a gang fit or none does; of other steps, as many as fit are placed.
 *
 * <p>Answers a workspace that submits more than its quota: its surplus waits here, before it takes
 * approval calls, reservations, claims or preemptions from others. The first gang of a workspace
 * that waits claims its room within the quota for the rest of the round; otherwise later small
 * tasks of the same workspace, which arrive continuously, would use up the quota each time.
 */
final class QuotaCheck {
    private final PoolState mState;

    /** Room within the quota of a workspace that a waiting gang claims in this round. */
    private final Map<String, Room> mClaims = new HashMap<>();

    QuotaCheck(PoolState state) {
        mState = state;
    }

    /** Returns how many of a step's placeable tasks its workspace's quota admits now. */
    int admit(Step step, int tasks) {
        String workspace = step.mWorkflow.mSpec.workspace();
        Option<WorkspacePolicy> policy = mState.mWorkspaces.policyOf(workspace);
        if (tasks == 0 || policy.isEmpty()) {
            return tasks;
        }
        Room quota = policy.get().quota();
        Room size = step.mSpec.room();
        Room used =
                mState.mUsage
                        .heldBy(workspace)
                        .minus(step.reservedRoom())
                        .plus(mClaims.getOrDefault(workspace, Room.NONE));
        long count = Quota.remainingTasks(size, quota, used);
        boolean waits = step.mSpec.gang() ? count < tasks : count == 0;
        if (!waits) {
            return (int) Math.min(count, tasks);
        }
        recordWait(step, quota, used);
        step.releaseReservations();
        if (step.mSpec.gang() && Quota.admits(size, tasks, quota)) {
            mClaims.putIfAbsent(workspace, WorkerSelector.multiply(size, tasks));
        }
        return 0;
    }

    private void recordWait(Step step, Room quota, Room used) {
        if (step.mHasWaitedForQuota) {
            return;
        }
        step.mHasWaitedForQuota = true;
        String inputs =
                "workspace=%s needs=%s used=%s quota=%s"
                        .formatted(
                                step.mWorkflow.mSpec.workspace(), step.mSpec.room(), used, quota);
        mState.mOutput.recordDecision(step.mKey, "waits for the quota of its workspace", inputs);
    }
}
