package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Places the tasks of all waiting steps once, in the order of {@link PlacementOrder}. The tasks of
 * a gang are placed all together or not at all. A gang that does not fit claims workers; otherwise
 * small tasks, which arrive continuously, would keep them full and starve wide gangs of large
 * tasks.
 */
final class PlacementRound {
    /**
     * Maximum age of the last report of a worker that receives new runs: two polls and one timeout.
     */
    static final long MAX_REPORT_AGE_MILLIS = 2_500;

    /**
     * Time that a reservation lasts beyond the expected duration of the stop or the approval call
     * that it waits for.
     */
    static final long RESERVATION_MARGIN_MILLIS = 1_500;

    /** Maximum number of gangs that claim workers in a round. */
    static final int MAX_CLAIMING_GANGS = 2;

    /**
     * Factor on a forecast wait. Runs take up to twice as long as submitted, and others may take
     * the room that is waited for once.
     */
    static final double FORECAST_MARGIN = 3;

    /** Longest expected time for which a late gang claims workers: that of a short task. */
    static final long MAX_LATE_CLAIM_MILLIS = 1_000;

    /** Largest share of a pool that is left out because it is slow. */
    static final double MAX_SLOW_SHARE = 0.25;

    private final PoolState mState;
    private final long mNowMillis;

    /** Slow workers of the pools seen so far. */
    private final Set<PoolWorker> mSlow = new HashSet<>();

    private final WorkerClaims mClaims;
    private final RoomForecast mForecast;
    private final Map<String, List<PoolWorker>> mSchedulable = new HashMap<>();

    private final Preemption mPreemption;
    private final ApprovedPlacement mApprovedPlacement;
    private final RoundLimits mLimits;
    private final QuotaCheck mQuotas;
    private final ShareOrder mShares;
    private int mClaimingGangs;

    /** Number of workers that start nothing else in this round, so that a trial can begin. */
    private int mTrialClaims;

    private int mStartingSteps;
    private int mStartedRuns;

    private long mVisitedWorkers;

    PlacementRound(PoolState state, RoundLimits limits, long nowMillis) {
        mState = state;
        mLimits = limits;
        mQuotas = new QuotaCheck(state);
        mShares = new ShareOrder(state);
        mNowMillis = nowMillis;
        mClaims = new WorkerClaims(state, nowMillis);
        mForecast = new RoomForecast(state, nowMillis);
        mPreemption = new Preemption(state, this::urgency, nowMillis);
        mApprovedPlacement = new ApprovedPlacement(state, this, limits, nowMillis);
    }

    /** Runs the round. */
    void run() {
        mState.mDurations.beginRound();
        new RoundQueue(mState, this, mLimits, mNowMillis).run();
    }

    /** Returns the number of steps with new runs. */
    int startingSteps() {
        return mStartingSteps;
    }

    /** Returns the number of new runs. */
    int startedRuns() {
        return mStartedRuns;
    }

    /** Returns the number of workers that the round has looked at, those of each step anew. */
    long visitedWorkers() {
        return mVisitedWorkers;
    }

    /** Returns how far the workspace of a step is above its share at present. */
    int shareLevelOf(Step step) {
        return mShares.levelOf(step);
    }

    /** Returns how many tasks of a step may be placed now within the quota of its workspace. */
    int admittedCount(Step step) {
        return mQuotas.admit(step, step.placeableCount());
    }

    /** Returns the urgency of a step at present; 0 is the most urgent. */
    int urgency(Step step) {
        return mState.policyOf(step.mWorkflow)
                .map(policy -> mState.mOrder.rank(step, policy, mNowMillis).urgency())
                .getOrElse(0);
    }

    /**
     * Places tasks of a step for which workers have room.
     *
     * @param tasks maximum number of tasks; of a gang, the number of its members
     */
    void place(Step step, int tasks, QueuePolicy policy) {
        boolean expired =
                step.mReservedUntilMillis < mNowMillis && !step.mApprovals.isRequestPending();
        boolean unusable =
                step.mReservedTasks.keySet().stream()
                        .anyMatch(worker -> !worker.mListed || worker.entry().draining());
        if (!step.mReservedTasks.isEmpty() && (expired || unusable)) {
            step.releaseReservations();
        }
        List<PoolWorker> workers = schedulableWorkers(policy.pool());
        mVisitedWorkers += workers.size();
        if (policy.approval().isDefined()) {
            mApprovedPlacement.place(step, tasks, policy, policy.approval().get());
            return;
        }
        List<PoolWorker> candidates = new ArrayList<>();
        for (PoolWorker worker : workers) {
            if (isEligible(step, worker)) {
                candidates.add(worker);
            }
        }
        Map<Task, PoolWorker> plan = plan(step, tasks, candidates);
        assign(step, plan);
        int unplaced = admittedCount(step);
        boolean hadRoomForAll = plan.size() == tasks;
        if (unplaced > 0
                && !hadRoomForAll
                && !preempt(step, unplaced, candidates)
                && step.mSpec.gang()) {
            claimWorkers(step, candidates);
        }
    }

    /**
     * Returns whether a schedulable worker meets the constraints of a step and is not claimed by
     * another step.
     */
    boolean isEligible(Step step, PoolWorker worker) {
        return !mSlow.contains(worker)
                && mClaims.allow(step, worker)
                && worker.matchesLabel(step.mSpec)
                && !step.isExcluded(worker.mId, mNowMillis)
                && TrialPlacement.accepts(worker, step);
    }

    /** Returns whether a worker belongs to a pool and accepts new runs. */
    boolean isSchedulable(PoolWorker worker, String pool) {
        return worker.entry().pool().equals(pool)
                && worker.isSchedulable(mNowMillis, MAX_REPORT_AGE_MILLIS);
    }

    /** Returns the workers of a pool that accept new runs. */
    List<PoolWorker> schedulableWorkers(String pool) {
        return mSchedulable.computeIfAbsent(
                pool,
                name -> {
                    List<PoolWorker> workers = new ArrayList<>();
                    for (PoolWorker worker : mState.mWorkers.values()) {
                        if (isSchedulable(worker, name)) {
                            workers.add(worker);
                        }
                    }
                    return withoutSlow(workers);
                });
    }

    /** Leaves out the slow workers, unless they are too large a part of the pool. */
    private List<PoolWorker> withoutSlow(List<PoolWorker> workers) {
        Set<PoolWorker> slow = new HashSet<>();
        for (PoolWorker worker : workers) {
            if (worker.mSpeed.isSlow(mNowMillis)) {
                slow.add(worker);
            }
        }
        if (slow.isEmpty() || slow.size() > MAX_SLOW_SHARE * workers.size()) {
            return workers;
        }
        mSlow.addAll(slow);
        return workers.stream().filter(worker -> !slow.contains(worker)).toList();
    }

    /**
     * Stops tasks of lower priority and reserves their workers for a step. Returns whether the step
     * holds reservations afterwards.
     */
    boolean preempt(Step step, int tasks, List<PoolWorker> candidates) {
        if (!step.mReservedTasks.isEmpty()) {
            return true;
        }
        if (step.needsTrial() && hasRoom(step, candidates)) {
            // The step waits for a trial to begin, not for room.
            return false;
        }
        Map<Task, PoolWorker> plan =
                WorkerSelector.select(
                        step,
                        tasks,
                        candidates,
                        mPreemption.attainableRoom(step),
                        mState.mProgress.rankingFor(step));
        if (plan.isEmpty()) {
            return false;
        }
        if (mState.mLimits.overload().weighsPreemption()
                && !preemptionPays(step, tasks, candidates)) {
            return false;
        }
        reserve(step, plan);
        step.mReservedUntilMillis =
                mNowMillis + mState.mLimits.stopMillis() + RESERVATION_MARGIN_MILLIS;
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        step.mReservedTasks.forEach(
                (worker, count) ->
                        mPreemption.stopTasksFor(
                                step, worker, WorkerSelector.multiply(room, count)));
        return true;
    }

    /**
     * Returns whether a step meets its objective with preemption only: not if it is late anyway,
     * nor if it will have room in time by itself. The room of a wide gang is not waited for longer
     * than a stop takes, since others take parts of it.
     */
    private boolean preemptionPays(Step step, int tasks, List<PoolWorker> candidates) {
        long latestMillis = mState.latestStartMillis(step);
        if (latestMillis == Long.MAX_VALUE) {
            return true;
        }
        long stoppedMillis = mNowMillis + mState.mLimits.stopMillis() + mState.startDelayMillis();
        if (latestMillis < stoppedMillis) {
            mState.mOutput.recordForgonePreemption(step, OverloadCounts.Cause.TOO_LATE);
            return false;
        }
        long startMillis = mForecast.startOf(step, tasks, candidates).atMillis();
        boolean pays =
                step.mSpec.gang()
                        ? startMillis > stoppedMillis
                        : (startMillis - mNowMillis) * FORECAST_MARGIN > latestMillis - mNowMillis;
        if (!pays) {
            mState.mOutput.recordForgonePreemption(step, OverloadCounts.Cause.ROOM_IN_TIME);
        } else if (step.mSpec.gang() && !mPreemption.isWithinBudget()) {
            mState.mOutput.recordForgonePreemption(step, OverloadCounts.Cause.BUDGET_SPENT);
            return false;
        }
        return pays;
    }

    private static boolean hasRoom(Step step, List<PoolWorker> candidates) {
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        return candidates.stream().anyMatch(it -> room.fitsIn(it.freeFor(step)));
    }

    /**
     * Reserves the room that a plan needs for its step, in place of the step's earlier
     * reservations.
     */
    void reserve(Step step, Map<Task, PoolWorker> plan) {
        step.releaseReservations();
        plan.values().forEach(worker -> step.mReservedTasks.merge(worker, 1, Integer::sum));
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        step.mReservedTasks.forEach(
                (worker, count) -> worker.reserve(step, WorkerSelector.multiply(room, count)));
    }

    /**
     * Excludes later steps of the round from the workers with the most free room, on which the gang
     * is likely to fit first.
     */
    void claimWorkers(Step step, List<PoolWorker> candidates) {
        if (mClaimingGangs >= MAX_CLAIMING_GANGS) {
            return;
        }
        if (mState.mLimits.overload().forecastsRoom()) {
            claimForecastWorkers(step, candidates);
            return;
        }
        mClaimingGangs++;
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        List<PoolWorker> byFreeRoom = new ArrayList<>(candidates);
        byFreeRoom.sort(Comparator.comparingLong(w -> -w.freeFor(step).cpuMillis()));
        long unclaimed = step.mSpec.taskCount();
        for (PoolWorker worker : byFreeRoom) {
            if (unclaimed <= 0) {
                return;
            }
            unclaimed -= Math.max(1, WorkerSelector.fitCount(room, worker.entry().capacity()) / 2);
            mClaims.claim(worker, step, Long.MAX_VALUE);
        }
    }

    /**
     * Claims the workers that are expected to have room first, if the gang is then in time or,
     * being late, starts soon.
     */
    private void claimForecastWorkers(Step step, List<PoolWorker> candidates) {
        RoomForecast.Start start = mForecast.startOf(step, step.mSpec.taskCount(), candidates);
        long untilMillis =
                Math.max(mState.latestStartMillis(step), mNowMillis + MAX_LATE_CLAIM_MILLIS);
        if (start.atMillis() != Long.MAX_VALUE && start.atMillis() <= untilMillis) {
            mClaimingGangs++;
            start.workers().forEach(worker -> mClaims.claim(worker, step, start.atMillis()));
        }
    }

    /** Chooses workers for tasks within the room that is free now. */
    Map<Task, PoolWorker> plan(Step step, int tasks, List<PoolWorker> candidates) {
        if (!step.needsTrial()) {
            return WorkerSelector.select(
                    step,
                    tasks,
                    candidates,
                    it -> it.freeFor(step),
                    mState.mProgress.rankingFor(step));
        }
        List<PoolWorker> pool =
                mState.policyOf(step.mWorkflow)
                        .map(policy -> schedulableWorkers(policy.pool()))
                        .getOrElse(List.of());
        Map<Task, PoolWorker> plan = TrialPlacement.select(step, tasks, candidates, pool);
        if (plan.isEmpty() && TrialPlacement.mayUseFurther(pool, mTrialClaims)) {
            for (PoolWorker worker : TrialPlacement.workerToClear(step, candidates)) {
                mClaims.claim(worker, step, Long.MAX_VALUE);
                mTrialClaims++;
            }
        }
        return plan;
    }

    /** Starts a new run of each task in a plan on the worker chosen for it. */
    void assign(Step step, Map<Task, PoolWorker> plan) {
        if (plan.isEmpty()) {
            return;
        }
        mStartingSteps++;
        mStartedRuns += plan.size();
        releaseUsedReservations(step, plan);
        Map<Task, Integer> runs = step.nextRuns(plan.keySet());
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        int urgency = urgency(step);
        plan.forEach(
                (task, worker) -> {
                    task.beginRun(runs.getOrDefault(task, task.mRun + 1), worker, mNowMillis);
                    task.mUrgency = urgency;
                    worker.allocate(task, room);
                    mState.mOutput.addStart(startOrder(step, task, worker));
                });
        if (step.mWorkflow.mState == WorkflowState.PENDING) {
            // Becomes durable with the row of the start, so that no further commit is needed.
            step.mWorkflow.mState = WorkflowState.ACTIVE;
        }
        mState.mOutput.markChanged(step.mWorkflow);
        if (step.count(Task.Phase.WAITING) == 0) {
            mState.removeWaiting(step);
        }
    }

    /**
     * Releases the reservations of a step that starts tasks. Those of its other tasks are kept, as
     * tasks were stopped for them.
     */
    private void releaseUsedReservations(Step step, Map<Task, PoolWorker> plan) {
        Map<PoolWorker, Integer> remaining = new HashMap<>(step.mReservedTasks);
        step.releaseReservations();
        int unplaced = step.count(Task.Phase.WAITING) - plan.size();
        if (!mState.mLimits.overload().weighsPreemption() || unplaced <= 0) {
            return;
        }
        plan.values().forEach(worker -> remaining.computeIfPresent(worker, (key, n) -> n - 1));
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        remaining.forEach(
                (worker, count) -> {
                    if (count > 0) {
                        step.mReservedTasks.put(worker, count);
                        worker.reserve(step, WorkerSelector.multiply(room, count));
                    }
                });
    }

    private static TaskStart startOrder(Step step, Task task, PoolWorker worker) {
        return new TaskStart(
                worker.mId,
                worker.entry().address(),
                task.mKey,
                task.mRun,
                step.mWorkflow.mSpec.payload(),
                step.checkpointOf(task),
                step.mApprovals.ticket(worker.mId));
    }
}
