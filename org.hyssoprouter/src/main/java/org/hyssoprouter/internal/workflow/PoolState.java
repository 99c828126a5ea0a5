package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.hyssoprouter.internal.workspace.WorkspacePolicies;
import org.hyssoprouter.internal.workspace.WorkspaceUsage;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.jspecify.annotations.Nullable;

/** Workflows, workers and queue policies of the pools, shared by the classes of the scheduler. */
final class PoolState {
    private static final long INITIAL_START_DELAY_MILLIS = 100;

    /** Half of the usual validity of a ticket; a longer delay cannot be waited out. */
    private static final long MAX_START_DELAY_MILLIS = 1_000;

    /** With each start, the maximum of the start delay decays by 2^-6 of its value. */
    private static final int START_DELAY_DECAY_SHIFT = 6;

    final SchedulerLimits mLimits;
    final DurationEstimator mDurations = new DurationEstimator(this);
    final PlacementOrder mOrder;
    final Map<String, Workflow> mWorkflows = new LinkedHashMap<>();
    final Map<String, PoolWorker> mWorkers = new LinkedHashMap<>();

    /** Steps whose predecessors are done and that have tasks without a run. */
    final Set<Step> mWaitingSteps = new LinkedHashSet<>();

    final SchedulerOutput mOutput = new SchedulerOutput();
    final ProgressLearner mProgress;
    final PreemptionBudget mPreemptionBudget = new PreemptionBudget();
    final WorkspacePolicies mWorkspaces = new WorkspacePolicies();
    final WorkspaceUsage mUsage = new WorkspaceUsage();
    final WorkerListReads mWorkerList = new WorkerListReads();
    StoreOffset mStoreOffset = StoreOffset.NONE;

    private final long mOwnedMillis;

    /** Recent time from the placement of a run to its start order: a slowly decaying maximum. */
    private long mStartDelayMillis = INITIAL_START_DELAY_MILLIS;

    private final Map<String, QueuePolicy> mPolicies = new HashMap<>();

    /** Room that a task of a workspace uses while it runs. */
    record WorkspaceRoom(String workspace, Room room) {}

    /**
     * Creates a state without workflows and workers.
     *
     * @param ownedMillis start of the ownership, in milliseconds
     */
    PoolState(
            SchedulerLimits limits,
            long ownedMillis,
            Function<DurationEstimator, PlacementOrder> order) {
        mLimits = limits;
        mOwnedMillis = ownedMillis;
        mProgress = new ProgressLearner(limits.learning(), mOutput);
        mOrder = order.apply(mDurations);
    }

    void recordStartDelay(long millis) {
        long decayedMillis = mStartDelayMillis - (mStartDelayMillis >> START_DELAY_DECAY_SHIFT);
        mStartDelayMillis = Math.max(Math.min(millis, MAX_START_DELAY_MILLIS), decayedMillis);
    }

    long startDelayMillis() {
        return mStartDelayMillis;
    }

    /**
     * Applies a configuration. Removed queues and workspaces keep their policy, which accepted
     * workflows still need.
     */
    void configure(PoolConfig config) {
        config.queues().forEach(queue -> mPolicies.put(queue.name(), queue));
        mWorkspaces.configure(config.workspaces());
    }

    /** Returns the policy of a workflow's queue, or none if the queue was never configured. */
    Option<QueuePolicy> policyOf(Workflow workflow) {
        return Option.of(mPolicies.get(workflow.mSpec.queue()));
    }

    /** Returns the policy by which tasks of a workflow are placed, or none if none may be. */
    Option<QueuePolicy> placementPolicyOf(Workflow workflow) {
        return workflow.mHeld ? Option.none() : policyOf(workflow);
    }

    /**
     * Returns the latest time at which a step can start for its workflow to meet its objective, in
     * milliseconds; {@link Long#MAX_VALUE} if it has none.
     */
    long latestStartMillis(Step step) {
        Workflow workflow = step.mWorkflow;
        if (workflow.mSpec.hasSchedule() || step.mSpec.habits().longRunning()) {
            return Long.MAX_VALUE;
        }
        return policyOf(workflow)
                .map(
                        policy ->
                                workflow.mAcceptedMillis
                                        + (long)
                                                mDurations.objectiveMillis(
                                                        workflow, policy.objective())
                                        - mDurations.remainingMillis(step))
                .getOrElse(Long.MAX_VALUE);
    }

    /** Returns what the owner knows of the worker list, for the log. */
    String describeKnowledge(PoolWorker worker, long nowMillis) {
        return "listed=%s, %s, owner for %d ms"
                .formatted(
                        worker.mListed,
                        mWorkerList.describeAge(nowMillis),
                        nowMillis - mOwnedMillis);
    }

    /** Returns the workspace and the room of a task, or none if its workflow is unknown. */
    Option<WorkspaceRoom> roomOf(TaskKey key) {
        Workflow workflow = mWorkflows.get(key.step().workflow());
        if (workflow == null || key.step().step() >= workflow.mSpec.steps().size()) {
            return Option.none();
        }
        Room room = workflow.mSpec.steps().get(key.step().step()).room();
        return Option.some(new WorkspaceRoom(workflow.mSpec.workspace(), room));
    }

    /** Returns a task, or null if it has not started or it or its occurrence is not held. */
    @Nullable Task findTask(TaskKey key) {
        Workflow workflow = mWorkflows.get(key.step().workflow());
        if (workflow == null) {
            return null;
        }
        List<Step> steps = workflow.mOccurrences.get(key.step().occurrence());
        if (steps == null || key.step().step() >= steps.size()) {
            return null;
        }
        return steps.get(key.step().step()).heldTask(key.index());
    }

    /**
     * Orders the current run of a task to stop. Its room stays allocated until the run has ended.
     */
    void stopRun(Task task, String reason, long nowMillis) {
        PoolWorker worker = task.mWorker;
        if (worker == null || task.mPhase == Task.Phase.DONE) {
            return;
        }
        if (task.mPhase != Task.Phase.STOPPING) {
            task.setPhase(Task.Phase.STOPPING, nowMillis);
            task.mStopAckMillis = 0;
        }
        task.mStopSentMillis = nowMillis;
        sendStop(worker, task.mKey, task.mRun, reason);
    }

    /** Orders a run once more to stop. An acknowledgement of an earlier order remains valid. */
    void repeatStop(Task task, long nowMillis) {
        PoolWorker worker = task.mWorker;
        if (worker != null) {
            task.mStopSentMillis = nowMillis;
            sendStop(worker, task.mKey, task.mRun, "stop not confirmed");
        }
    }

    void sendStop(PoolWorker worker, TaskKey task, int run, String reason) {
        String address = worker.entry().address();
        mOutput.addStop(new TaskStop(worker.mId, address, task, run, reason));
    }

    /** Moves a workflow to a terminal state and stops its runs. */
    void finishWorkflow(Workflow workflow, WorkflowState state, String reason, long nowMillis) {
        if (workflow.mState.isFinal()) {
            return;
        }
        workflow.mState = state;
        workflow.mReason = reason;
        for (Step step : workflow.openSteps()) {
            mWaitingSteps.remove(step);
            step.releaseReservations();
            step.mTasks.forEach(task -> stopRun(task, reason, nowMillis));
        }
        mOutput.markChanged(workflow);
        mOutput.recordDecision(workflow.id(), "workflow " + state, reason);
    }

    /** Adds the steps of an occurrence whose predecessors are done to the waiting steps. */
    void queueReadySteps(Workflow workflow, int occurrence, long nowMillis) {
        if (workflow.mState.isFinal()) {
            return;
        }
        for (Step step : workflow.openOccurrence(occurrence)) {
            if (!step.isDone() && workflow.isReady(step) && mWaitingSteps.add(step)) {
                if (step.mReadyMillis < 0) {
                    step.mReadyMillis = nowMillis;
                }
            }
        }
    }

    /** Stops the other members of a task's gang, as a gang only runs as a whole. */
    void abortGang(Task task, String reason, long nowMillis) {
        if (!task.mStep.mSpec.gang()) {
            return;
        }
        for (Task member : task.mStep.mTasks) {
            boolean active =
                    member.mPhase == Task.Phase.RUNNING || member.mPhase == Task.Phase.PLACED;
            if (!member.equals(task) && active) {
                stopRun(member, reason, nowMillis);
            }
        }
    }

    /**
     * Releases the worker of a task whose run has ended and, unless its workflow has ended, queues
     * it again.
     */
    void requeue(Task task, long nowMillis) {
        task.releaseWorker(nowMillis);
        Step step = task.mStep;
        markReleased(step.mWorkflow);
        if (task.mPhase == Task.Phase.WAITING && !step.mWorkflow.mState.isFinal()) {
            mWaitingSteps.add(step);
        }
    }

    /**
     * Marks an ended workflow as changed once its last run is over, so that a new owner does not
     * count that run for the quota of the workspace.
     */
    void markReleased(Workflow workflow) {
        boolean ended =
                workflow.mState.isFinal()
                        && !workflow.mSpec.workspace().isEmpty()
                        && !workflow.mOccurrences.isEmpty();
        if (ended && workflow.openSteps().stream().noneMatch(Step::hasRoom)) {
            mOutput.markChanged(workflow);
        }
    }
}
