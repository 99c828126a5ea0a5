package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.TaskStart;

/**
 * One round of placement over all steps that wait, the most urgent first. A gang is placed whole or
 * not at all; one that does not fit claims workers, so that later steps do not keep them full. Load
 * pattern: small tasks arrive all the time beside wide gangs of large ones.
 */
final class PlacementRound {
    /** Age of the last report up to which a worker gets new runs: two polls and a timeout. */
    static final long MAX_REPORT_AGE_MILLIS = 2_500;

    /** Reservations for a preemption end so long after the longest stop. */
    static final long RESERVATION_MARGIN_MILLIS = 1_500;

    /** Gangs that may claim workers at a time. */
    static final int MAX_CLAIMING_GANGS = 2;

    private final PoolState mState;
    private final long mNowMillis;
    private final Map<PoolWorker, Step> mClaims = new HashMap<>();
    private final Map<String, List<PoolWorker>> mSchedulable = new HashMap<>();
    private final Preemption mPreemption;
    private final ApprovedPlacement mApprovedPlacement;
    private int mClaimingGangs;

    PlacementRound(PoolState state, long nowMillis) {
        mState = state;
        mNowMillis = nowMillis;
        mPreemption = new Preemption(state, this::priority, nowMillis);
        mApprovedPlacement = new ApprovedPlacement(state, this, nowMillis);
    }

    /** A step with what decides its place in the round. */
    private record QueuedStep(Step step, QueuePolicy policy) {}

    void run() {
        List<QueuedStep> turns = new ArrayList<>();
        for (Step step : mState.mWaitingSteps) {
            mState.policyOf(step.mWorkflow)
                    .forEach(policy -> turns.add(new QueuedStep(step, policy)));
        }
        turns.sort(
                Comparator.comparingInt((QueuedStep turn) -> turn.policy().priority())
                        .thenComparingLong(turn -> turn.step().mWorkflow.mAddedMillis));
        for (QueuedStep turn : turns) {
            List<Task> tasks = turn.step().placeableTasks();
            if (!tasks.isEmpty()) {
                place(turn.step(), tasks, turn.policy());
            } else if (turn.step().count(Task.Phase.WAITING) == 0) {
                mState.mWaitingSteps.remove(turn.step());
            }
        }
    }

    private int priority(Step step) {
        return mState.policyOf(step.mWorkflow).map(QueuePolicy::priority).getOrElse(0);
    }

    private void place(Step step, List<Task> tasks, QueuePolicy policy) {
        boolean expired =
                step.mReservedUntilMillis < mNowMillis && !step.mApprovals.isRequestPending();
        if (!step.mReservedTasks.isEmpty() && expired) {
            step.releaseReservations();
        }
        if (policy.approval().isDefined()) {
            mApprovedPlacement.place(step, tasks, policy, policy.approval().get());
            return;
        }
        List<PoolWorker> candidates = new ArrayList<>();
        for (PoolWorker worker : schedulableWorkers(policy.pool())) {
            if (isEligible(step, worker)) {
                candidates.add(worker);
            }
        }
        assign(step, plan(step, tasks, candidates));
        List<Task> left = step.placeableTasks();
        if (!left.isEmpty() && !preempt(step, left, candidates) && step.mSpec.gang()) {
            claimWorkers(step, candidates);
        }
    }

    /** Returns whether a usable worker may run a step and is not claimed by another one. */
    boolean isEligible(Step step, PoolWorker worker) {
        Step claimant = mClaims.get(worker);
        return (claimant == null || claimant.equals(step))
                && worker.matchesLabel(step.mSpec)
                && !step.mStalledWorkers.contains(worker.mId);
    }

    /** Returns whether new runs of a pool may go to a worker. */
    boolean isSchedulable(PoolWorker worker, String pool) {
        return worker.entry().pool().equals(pool)
                && worker.isSchedulable(mNowMillis, MAX_REPORT_AGE_MILLIS);
    }

    /** Returns the workers of a pool that new runs may go to. */
    List<PoolWorker> schedulableWorkers(String pool) {
        return mSchedulable.computeIfAbsent(
                pool,
                name ->
                        mState.mWorkers.values().stream()
                                .filter(w -> isSchedulable(w, name))
                                .toList());
    }

    /** Reserves workers on which less urgent tasks are stopped; returns whether that helps. */
    boolean preempt(Step step, List<Task> tasks, List<PoolWorker> from) {
        if (!step.mReservedTasks.isEmpty()) {
            return true;
        }
        Map<Task, PoolWorker> wanted =
                WorkerSelector.select(
                        step, tasks, from, worker -> mPreemption.attainableRoom(step, worker));
        if (wanted.isEmpty()) {
            return false;
        }
        reserve(step, wanted);
        step.mReservedUntilMillis =
                mNowMillis + mState.mLimits.stopMillis() + RESERVATION_MARGIN_MILLIS;
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        step.mReservedTasks.forEach(
                (worker, count) ->
                        mPreemption.stopTasksFor(
                                step, worker, WorkerSelector.multiply(room, count)));
        return true;
    }

    /** Keeps the room of a plan free for its step. */
    void reserve(Step step, Map<Task, PoolWorker> plan) {
        step.releaseReservations();
        plan.values().forEach(worker -> step.mReservedTasks.merge(worker, 1, Integer::sum));
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        step.mReservedTasks.forEach(
                (worker, count) ->
                        worker.mReserved.put(step, WorkerSelector.multiply(room, count)));
    }

    /** Keeps later steps off the workers on which a gang will fit soonest. */
    void claimWorkers(Step step, List<PoolWorker> from) {
        if (mClaimingGangs >= MAX_CLAIMING_GANGS) {
            return;
        }
        mClaimingGangs++;
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        List<PoolWorker> byFree = new ArrayList<>(from);
        byFree.sort(Comparator.comparingLong(w -> -w.freeFor(step).cpuMillis()));
        long missing = step.mSpec.taskCount();
        for (PoolWorker worker : byFree) {
            if (missing <= 0) {
                return;
            }
            missing -= Math.max(1, WorkerSelector.fitCount(room, worker.entry().capacity()) / 2);
            mClaims.putIfAbsent(worker, step);
        }
    }

    Map<Task, PoolWorker> plan(Step step, List<Task> tasks, List<PoolWorker> from) {
        return WorkerSelector.select(step, tasks, from, worker -> worker.freeFor(step));
    }

    /** Gives the tasks of a plan their runs. */
    void assign(Step step, Map<Task, PoolWorker> plan) {
        if (plan.isEmpty()) {
            return;
        }
        step.releaseReservations();
        Map<Task, Integer> runs = new LinkedHashMap<>();
        plan.keySet().forEach(task -> runs.put(task, step.nextRun(task)));
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        plan.forEach(
                (task, worker) -> {
                    task.mRun = runs.getOrDefault(task, task.mRun + 1);
                    task.mWorker = worker;
                    task.setPhase(Task.Phase.PLACED, mNowMillis);
                    worker.allocate(task, room);
                    mState.mOutput.addStart(orderOf(step, task, worker));
                });
        mState.mOutput.markChanged(step.mWorkflow);
        if (step.count(Task.Phase.WAITING) == 0) {
            mState.mWaitingSteps.remove(step);
        }
    }

    private static TaskStart orderOf(Step step, Task task, PoolWorker worker) {
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
