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
    static final long CONTACT_MILLIS = 2_500;

    /** Reservations for a preemption end so long after the longest stop. */
    static final long RESERVE_SLACK_MILLIS = 1_500;

    /** Gangs that may claim workers at a time. */
    static final int MAX_CLAIMS = 2;

    private final PoolState mState;
    private final long mNowMillis;
    private final Map<PoolWorker, Step> mClaims = new HashMap<>();
    private final Map<String, List<PoolWorker>> mUsable = new HashMap<>();
    private final Preemption mPreemption;
    private final ApprovedPlacement mApproved;
    private int mClaimants;

    PlacementRound(PoolState state, long nowMillis) {
        mState = state;
        mNowMillis = nowMillis;
        mPreemption = new Preemption(state, this::priority, nowMillis);
        mApproved = new ApprovedPlacement(state, this, nowMillis);
    }

    /** A step with what decides its place in the round. */
    private record Turn(Step step, QueuePolicy policy) {}

    void run() {
        List<Turn> turns = new ArrayList<>();
        for (Step step : mState.mWaiting) {
            mState.policyOf(step.mWorkflow).forEach(policy -> turns.add(new Turn(step, policy)));
        }
        turns.sort(
                Comparator.comparingInt((Turn turn) -> turn.policy().priority())
                        .thenComparingLong(turn -> turn.step().mWorkflow.mSeenMillis));
        for (Turn turn : turns) {
            List<Task> tasks = turn.step().placeable();
            if (!tasks.isEmpty()) {
                place(turn.step(), tasks, turn.policy());
            } else if (turn.step().count(Task.Phase.WAITING) == 0) {
                mState.mWaiting.remove(turn.step());
            }
        }
    }

    private int priority(Step step) {
        return mState.policyOf(step.mWorkflow).map(QueuePolicy::priority).getOrElse(0);
    }

    private void place(Step step, List<Task> tasks, QueuePolicy policy) {
        boolean expired = step.mReservedUntilMillis < mNowMillis && !step.mApprovals.isAsking();
        if (!step.mReserved.isEmpty() && expired) {
            step.dropReservations();
        }
        if (policy.approval().isDefined()) {
            mApproved.place(step, tasks, policy, policy.approval().get());
            return;
        }
        List<PoolWorker> candidates = new ArrayList<>();
        for (PoolWorker worker : usable(policy.pool())) {
            if (isOpenTo(step, worker)) {
                candidates.add(worker);
            }
        }
        assign(step, plan(step, tasks, candidates));
        List<Task> left = step.placeable();
        if (!left.isEmpty() && !preempt(step, left, candidates) && step.mSpec.gang()) {
            claim(step, candidates);
        }
    }

    /** Returns whether a usable worker may run a step and is not claimed by another one. */
    boolean isOpenTo(Step step, PoolWorker worker) {
        Step claimant = mClaims.get(worker);
        return (claimant == null || claimant.equals(step))
                && worker.fits(step.mSpec)
                && !step.mAvoided.contains(worker.mId);
    }

    /** Returns whether new runs of a pool may go to a worker. */
    boolean isUsable(PoolWorker worker, String pool) {
        return worker.entry().pool().equals(pool) && worker.isUsable(mNowMillis, CONTACT_MILLIS);
    }

    /** Returns the workers of a pool that new runs may go to. */
    List<PoolWorker> usable(String pool) {
        return mUsable.computeIfAbsent(
                pool,
                name -> mState.mWorkers.values().stream().filter(w -> isUsable(w, name)).toList());
    }

    /** Reserves workers on which less urgent tasks are stopped; returns whether that helps. */
    boolean preempt(Step step, List<Task> tasks, List<PoolWorker> from) {
        if (!step.mReserved.isEmpty()) {
            return true;
        }
        Map<Task, PoolWorker> wanted =
                TaskPlan.of(step, tasks, from, worker -> mPreemption.reachable(step, worker));
        if (wanted.isEmpty()) {
            return false;
        }
        reserve(step, wanted);
        step.mReservedUntilMillis = mNowMillis + mState.mLimits.stopMillis() + RESERVE_SLACK_MILLIS;
        Room room = TaskPlan.roomOf(step.mSpec);
        step.mReserved.forEach(
                (worker, count) -> mPreemption.makeRoom(step, worker, TaskPlan.times(room, count)));
        return true;
    }

    /** Keeps the room of a plan free for its step. */
    void reserve(Step step, Map<Task, PoolWorker> plan) {
        step.dropReservations();
        plan.values().forEach(worker -> step.mReserved.merge(worker, 1, Integer::sum));
        Room room = TaskPlan.roomOf(step.mSpec);
        step.mReserved.forEach(
                (worker, count) -> worker.mReserved.put(step, TaskPlan.times(room, count)));
    }

    /** Keeps later steps off the workers on which a gang will fit soonest. */
    void claim(Step step, List<PoolWorker> from) {
        if (mClaimants >= MAX_CLAIMS) {
            return;
        }
        mClaimants++;
        Room room = TaskPlan.roomOf(step.mSpec);
        List<PoolWorker> byFree = new ArrayList<>(from);
        byFree.sort(Comparator.comparingLong(w -> -w.freeFor(step).cpuMillis()));
        long missing = step.mSpec.taskCount();
        for (PoolWorker worker : byFree) {
            if (missing <= 0) {
                return;
            }
            missing -= Math.max(1, TaskPlan.timesIn(room, worker.entry().capacity()) / 2);
            mClaims.putIfAbsent(worker, step);
        }
    }

    Map<Task, PoolWorker> plan(Step step, List<Task> tasks, List<PoolWorker> from) {
        return TaskPlan.of(step, tasks, from, worker -> worker.freeFor(step));
    }

    /** Gives the tasks of a plan their runs. */
    void assign(Step step, Map<Task, PoolWorker> plan) {
        if (plan.isEmpty()) {
            return;
        }
        step.dropReservations();
        Map<Task, Integer> runs = new LinkedHashMap<>();
        plan.keySet().forEach(task -> runs.put(task, step.nextRun(task)));
        Room room = TaskPlan.roomOf(step.mSpec);
        plan.forEach(
                (task, worker) -> {
                    task.mRun = runs.getOrDefault(task, task.mRun + 1);
                    task.mWorker = worker;
                    task.enter(Task.Phase.PLACED, mNowMillis);
                    worker.hold(task, room);
                    mState.mEffects.start(orderOf(step, task, worker));
                });
        mState.mEffects.changed(step.mWorkflow);
        if (step.count(Task.Phase.WAITING) == 0) {
            mState.mWaiting.remove(step);
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
