package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.HashSet;
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
import org.hyssoprouter.lib.workflow.StepKey;
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

    /** Workflows with a schedule that are not in a terminal state. */
    final Set<Workflow> mScheduled = new LinkedHashSet<>();

    /** Open occurrences with steps whose turn has come, but that are not queued yet. */
    private final Set<Occurrence> mDeferring = new LinkedHashSet<>();

    private int mUnfinishedCount;

    final Map<String, PoolWorker> mWorkers = new LinkedHashMap<>();

    /** Steps whose predecessors are done and that have tasks without a run. */
    final Set<Step> mWaitingSteps = new LinkedHashSet<>();

    /** Waiting steps that earlier rounds have tried to place since all of them were tried last. */
    final Set<Step> mTriedSteps = new HashSet<>();

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
        Step step = findStep(workflow, key.step());
        return step == null ? null : step.heldTask(key.index());
    }

    /** Returns the number of tasks that have room on a worker. */
    int activeRuns() {
        return mWorkers.values().stream().mapToInt(PoolWorker::runCount).sum();
    }

    /** Returns a step, or null if it is not held. */
    static @Nullable Step findStep(Workflow workflow, StepKey key) {
        Occurrence occurrence = workflow.mOccurrences.get(key.occurrence());
        return occurrence == null ? null : occurrence.step(key.step());
    }

    /** Adds a workflow. */
    void addWorkflow(Workflow workflow) {
        mWorkflows.put(workflow.id(), workflow);
        if (workflow.mState.isFinal()) {
            return;
        }
        mUnfinishedCount++;
        if (workflow.mSpec.hasSchedule()) {
            mScheduled.add(workflow);
        }
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
        mScheduled.remove(workflow);
        mUnfinishedCount--;
        for (Step step : workflow.heldSteps()) {
            removeWaiting(step);
            step.releaseReservations();
            step.mTasks.forEach(task -> stopRun(task, reason, nowMillis));
        }
        workflow.mOccurrences.releaseEnded();
        mOutput.markChanged(workflow);
        mOutput.recordDecision(workflow.id(), "workflow " + state, reason);
    }

    /** Adds a step with tasks that wait for a run to the waiting steps. */
    void addWaiting(Step step) {
        if (mWaitingSteps.add(step)) {
            step.mWorkflow.countQueued(step, 1);
        }
    }

    /** Removes a step from the waiting steps. */
    void removeWaiting(Step step) {
        if (mWaitingSteps.remove(step)) {
            mTriedSteps.remove(step);
            step.mWorkflow.countQueued(step, -1);
        }
    }

    /**
     * Adds steps of an occurrence whose turn has come to the waiting steps. If enough others of its
     * workflow wait, they are added later.
     */
    void queueReadySteps(Occurrence occurrence, int[] ready, long nowMillis) {
        if (occurrence.mWorkflow.mState.isFinal()) {
            return;
        }
        for (int number : ready) {
            if (occurrence.step(number) != null || mayQueue(occurrence.mWorkflow, number)) {
                queue(occurrence, number, nowMillis);
            } else {
                occurrence.defer(number);
            }
        }
        if (occurrence.hasDeferred()) {
            mDeferring.add(occurrence);
        }
    }

    private void queue(Occurrence occurrence, int number, long nowMillis) {
        Step step = occurrence.hold(number);
        addWaiting(step);
        if (step.mReadyMillis < 0) {
            step.mReadyMillis = nowMillis;
        }
    }

    private boolean mayQueue(Workflow workflow, int step) {
        int stepCount = workflow.mSpec.steps().size();
        return workflow.mSpec.hasSchedule()
                ? workflow.queuedCount(step) < QueueLimits.occurrences(mScheduled.size(), stepCount)
                : workflow.queuedCount() < QueueLimits.steps(mUnfinishedCount);
    }

    /**
     * Queues steps that were deferred and due occurrences of schedules while few steps of their
     * workflows wait.
     */
    void queueDeferred(long nowMillis) {
        mDeferring.removeIf(occurrence -> !queueDeferred(occurrence, nowMillis));
        mScheduled.forEach(workflow -> new OccurrenceOpener(this, workflow, nowMillis).open());
    }

    /** Queues deferred steps of an occurrence. Returns whether some are left. */
    private boolean queueDeferred(Occurrence occurrence, long nowMillis) {
        Workflow workflow = occurrence.mWorkflow;
        if (workflow.mState.isFinal()) {
            return false;
        }
        boolean hasSchedule = workflow.mSpec.hasSchedule();
        if (!hasSchedule && workflow.queuedCount() >= QueueLimits.steps(mUnfinishedCount)) {
            deferWaiting(occurrence);
        }
        int[] added = new int[1];
        int free = QueueLimits.steps(mUnfinishedCount) - workflow.queuedCount();
        List<Integer> steps =
                occurrence.takeDeferred(
                        it -> hasSchedule ? mayQueue(workflow, it) : added[0]++ < free,
                        !hasSchedule);
        steps.forEach(step -> queue(occurrence, step, nowMillis));
        return occurrence.hasDeferred();
    }

    /** Defers steps that have found no room, so that others of their workflow are tried. */
    private void deferWaiting(Occurrence occurrence) {
        for (Step step : List.copyOf(occurrence.steps())) {
            if (step.mHasWaitedForRoom && step.isUntouched() && mWaitingSteps.contains(step)) {
                removeWaiting(step);
                occurrence.release(step);
                occurrence.defer(step.mKey.step());
            }
        }
    }

    /** Returns whether one more occurrence may wait for one of some steps. */
    boolean mayQueueAny(Workflow workflow, int[] steps) {
        for (int step : steps) {
            if (mayQueue(workflow, step)) {
                return true;
            }
        }
        return false;
    }

    /** Lets go of a step that is done once none of its tasks has room. */
    void releaseIfDone(Step step) {
        Occurrences occurrences = step.mWorkflow.mOccurrences;
        Occurrence occurrence = occurrences.get(step.mKey.occurrence());
        if (occurrence != null && step.isDone() && !step.hasRoom()) {
            occurrence.release(step);
            if (!step.mWorkflow.mState.isFinal()) {
                occurrences.suspendIfIdle(occurrence);
            }
        }
    }

    /** Stops the other members of a task's gang, as a gang only runs as a whole. */
    void abortGang(Task task, String reason, long nowMillis) {
        Step step = task.mStep;
        int activeCount = step.count(Task.Phase.RUNNING) + step.count(Task.Phase.PLACED);
        if (!step.mSpec.gang() || activeCount == (isActive(task) ? 1 : 0)) {
            return;
        }
        for (Task member : step.mTasks) {
            if (!member.equals(task) && isActive(member)) {
                stopRun(member, reason, nowMillis);
            }
        }
    }

    private static boolean isActive(Task task) {
        return task.mPhase == Task.Phase.RUNNING || task.mPhase == Task.Phase.PLACED;
    }

    /**
     * Releases the worker of a task whose run has ended and, unless its workflow has ended, queues
     * it again.
     */
    void requeue(Task task, long nowMillis) {
        releaseWorker(task, nowMillis);
        Step step = task.mStep;
        if (task.mPhase == Task.Phase.WAITING && !step.mWorkflow.mState.isFinal()) {
            addWaiting(step);
        }
    }

    /** Releases the worker of a task whose run has ended. */
    void releaseWorker(Task task, long nowMillis) {
        task.releaseWorker(nowMillis);
        markReleased(task.mStep.mWorkflow);
        releaseIfDone(task.mStep);
    }

    /**
     * Marks an ended workflow as changed once its last run is over, so that a new owner does not
     * count that run for the quota of the workspace.
     */
    private void markReleased(Workflow workflow) {
        boolean ended =
                workflow.mState.isFinal()
                        && !workflow.mSpec.workspace().isEmpty()
                        && !workflow.mOccurrences.open().isEmpty();
        if (ended && workflow.heldSteps().stream().noneMatch(Step::hasRoom)) {
            mOutput.markChanged(workflow);
        }
    }
}
