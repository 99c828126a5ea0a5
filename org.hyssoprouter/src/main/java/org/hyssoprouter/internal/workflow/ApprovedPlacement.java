package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.QueuePolicy;

/**
 * Places steps that may only run on workers with a ticket of the approval service. The set of
 * approved workers of a step never changes, but its tickets expire.
 *
 * <p>In a nearly full pool, steps wait longer than their tickets are valid. Requesting tickets only
 * once room is free would leave that room idle for the duration of each call, so tickets are
 * renewed while a step waits.
 */
final class ApprovedPlacement {
    /**
     * Minimum remaining validity of a ticket at placement, on top of the present delay from a
     * placement to its start order; covers the delivery of the order.
     */
    static final long TICKET_MARGIN_MILLIS = 150;

    /** Maximum number of workers in the first request for a step and in a renewal. */
    static final int MAX_QUERIED_WORKERS = 40;

    /** Maximum number of workers that the service accepts in one call. */
    static final int MAX_QUERIED_FOR_GANG = 100;

    /** Share of the workers assumed to be approved before the first answer for a step. */
    static final double DEFAULT_APPROVED_SHARE = 0.4;

    /**
     * Safety factor on the number of workers in a request, as the approved share varies between
     * steps.
     */
    static final double QUERY_MARGIN_FACTOR = 1.3;

    /**
     * Maximum expected duration of a call that renews tickets of a step that cannot be placed yet.
     */
    static final double MAX_RENEWAL_CALL_MILLIS = 250;

    /**
     * Maximum number of gangs, in the order of the round, for which tasks are preempted at a time.
     */
    static final int MAX_PREEMPTING_GANGS = 4;

    /**
     * Number of approved workers from which no more are requested, provided that their capacity is
     * {@link #MIN_CAPACITY_FACTOR} times the tasks of the step.
     */
    static final int MIN_APPROVED_WORKERS = 10;

    /** Required ratio of the tasks that fit on the approved workers to the tasks of the step. */
    static final int MIN_CAPACITY_FACTOR = 3;

    /** Maximum number of unplaced steps, in the order of the round, whose tickets are renewed. */
    static final int MAX_RENEWED_STEPS = 24;

    private final PoolState mState;
    private final PlacementRound mRound;
    private final long mNowMillis;
    private int mRemainingShortRequests;
    private int mRemainingLongRequests;

    /** Number of steps seen in this round that still have unplaced tasks. */
    private int mUnplacedSteps;

    /** Number of gangs in this round that hold reservations or try to preempt tasks. */
    private int mPreemptingGangs;

    ApprovedPlacement(PoolState state, PlacementRound round, RoundLimits limits, long nowMillis) {
        mState = state;
        mRemainingShortRequests = limits.shortApprovals();
        mRemainingLongRequests = limits.longApprovals();
        mRound = round;
        mNowMillis = nowMillis;
    }

    /** Places the tasks for which workers with valid tickets have room, then requests tickets. */
    void place(Step step, int tasks, QueuePolicy policy, QueuePolicy.ApprovalPolicy approval) {
        boolean mayRequest =
                step.mApprovals.mayRequest(mNowMillis)
                        && (mRemainingShortRequests > 0 || mRemainingLongRequests > 0);
        if (!mayRequest && !step.mApprovals.hasAnyTicket(mNowMillis)) {
            countUnplaced(step);
            return;
        }
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        List<PoolWorker> approved = new ArrayList<>();
        List<PoolWorker> withRoom = new ArrayList<>();
        List<PoolWorker> withTicket = new ArrayList<>();
        for (String id : step.mApprovals.approvedWorkers()) {
            PoolWorker worker = mState.mWorkers.get(id);
            boolean fits = worker != null && room.fitsIn(worker.freeFor(step));
            // Without a request, only workers with room matter.
            boolean eligible =
                    worker != null
                            && (fits || mayRequest)
                            && mRound.isSchedulable(worker, policy.pool())
                            && mRound.isEligible(step, worker);
            if (!eligible) {
                continue;
            }
            approved.add(worker);
            if (fits) {
                withRoom.add(worker);
                if (step.mApprovals.hasTicket(id, mNowMillis + marginMillis(approval))) {
                    withTicket.add(worker);
                }
            }
        }
        int unplaced = tasks;
        if (!withTicket.isEmpty()) {
            mRound.assign(step, mRound.plan(step, tasks, withTicket));
            unplaced = mRound.admittedCount(step);
        }
        if (unplaced == 0) {
            return;
        }
        countUnplaced(step);
        if (mayRequest) {
            requestApproval(step, unplaced, approved, withRoom, policy, approval);
        }
    }

    private void countUnplaced(Step step) {
        mUnplacedSteps++;
        if (step.mSpec.gang() && !step.mReservedTasks.isEmpty()) {
            mPreemptingGangs++;
        }
    }

    private long marginMillis(QueuePolicy.ApprovalPolicy approval) {
        return Math.min(
                approval.validMillis() / 2, mState.startDelayMillis() + TICKET_MARGIN_MILLIS);
    }

    /**
     * Requests tickets for a step with unplaced tasks: for the workers of a plan, else for the
     * workers on which tasks are preempted, else for workers that were not queried before. If none
     * of these applies, only renews tickets that are about to expire.
     */
    private void requestApproval(
            Step step,
            int unplaced,
            List<PoolWorker> approved,
            List<PoolWorker> withRoom,
            QueuePolicy policy,
            QueuePolicy.ApprovalPolicy approval) {
        Map<Task, PoolWorker> plan = mRound.plan(step, unplaced, withRoom);
        if (!plan.isEmpty()) {
            Set<PoolWorker> workers = addCheapRenewals(plan.values(), approved, approval);
            if (sendRequest(step, workers, approval)) {
                mRound.reserve(step, plan);
            }
            return;
        }
        boolean mayPreempt =
                (!step.mSpec.gang() || ++mPreemptingGangs <= MAX_PREEMPTING_GANGS)
                        && remainingRequests(approval.expectedCallMillis(unplaced)) > 0;
        if (mayPreempt && mRound.preempt(step, unplaced, approved)) {
            renewReservedTickets(step, approval);
            return;
        }
        List<PoolWorker> unqueried =
                hasEnoughWorkers(step, approved) ? List.of() : unqueriedWorkers(step, policy);
        if (!unqueried.isEmpty()) {
            int count = Math.min(unqueried.size(), queryCount(step, unplaced, approved.size()));
            sendRequest(step, unqueried.subList(0, count), approval);
            return;
        }
        if (step.mSpec.gang()) {
            mRound.claimWorkers(step, approved);
        }
        if (mUnplacedSteps <= MAX_RENEWED_STEPS) {
            renewTickets(step, approved, approval);
        }
    }

    /**
     * Requests tickets for the reserved workers, on which preempted tasks are stopping, unless all
     * of their tickets remain valid until a later request could be answered.
     */
    private void renewReservedTickets(Step step, QueuePolicy.ApprovalPolicy approval) {
        Set<PoolWorker> reserved = step.mReservedTasks.keySet();
        long callMillis = (long) approval.expectedCallMillis(reserved.size());
        long untilMillis = mNowMillis + marginMillis(approval) + callMillis;
        boolean allValid =
                reserved.stream().allMatch(w -> step.mApprovals.hasTicket(w.mId, untilMillis));
        if (!allValid) {
            sendRequest(step, reserved, approval);
        }
    }

    /** Returns whether the approved workers are likely to have room for the step at some point. */
    private static boolean hasEnoughWorkers(Step step, List<PoolWorker> approved) {
        if (approved.size() < MIN_APPROVED_WORKERS) {
            return false;
        }
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        long tasks = 0;
        for (PoolWorker worker : approved) {
            tasks += WorkerSelector.fitCount(room, worker.entry().capacity());
        }
        return tasks >= (long) MIN_CAPACITY_FACTOR * step.mSpec.taskCount();
    }

    /** Renews the tickets of a step that cannot be placed, before the last of them expires. */
    private void renewTickets(
            Step step, List<PoolWorker> approved, QueuePolicy.ApprovalPolicy approval) {
        Set<PoolWorker> workers = addCheapRenewals(List.of(), approved, approval);
        long callMillis = (long) approval.expectedCallMillis(workers.size());
        long untilMillis = mNowMillis + marginMillis(approval) + callMillis;
        boolean ticketValid =
                approved.stream().anyMatch(w -> step.mApprovals.hasTicket(w.mId, untilMillis));
        if (!ticketValid && !workers.isEmpty()) {
            sendRequest(step, workers, approval);
        }
    }

    /**
     * Adds approved workers to a request while its expected duration stays short, so that the step
     * can start on whichever of them has room next.
     */
    private static Set<PoolWorker> addCheapRenewals(
            Iterable<PoolWorker> required,
            List<PoolWorker> approved,
            QueuePolicy.ApprovalPolicy approval) {
        Set<PoolWorker> workers = new LinkedHashSet<>();
        required.forEach(workers::add);
        for (PoolWorker worker : approved) {
            boolean isShort =
                    approval.expectedCallMillis(workers.size() + 1) <= MAX_RENEWAL_CALL_MILLIS;
            if (workers.size() < MAX_QUERIED_WORKERS && isShort) {
                workers.add(worker);
            }
        }
        return workers;
    }

    /**
     * Returns the eligible workers that were not part of a request yet, those with the most free
     * CPU first. Returns none if the step has approved workers already and none of the others has
     * room for a task.
     */
    private List<PoolWorker> unqueriedWorkers(Step step, QueuePolicy policy) {
        boolean noneApproved = step.mApprovals.approvedWorkers().isEmpty();
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        List<PoolWorker> unqueried = new ArrayList<>();
        List<PoolWorker> schedulable = mRound.schedulableWorkers(policy.pool());
        boolean fits =
                noneApproved
                        || schedulable.stream()
                                .anyMatch(
                                        it ->
                                                room.fitsIn(it.freeFor(step))
                                                        && isUnqueried(step, it));
        if (!fits) {
            return List.of();
        }
        for (PoolWorker worker : schedulable) {
            if (isUnqueried(step, worker)) {
                unqueried.add(worker);
            }
        }
        unqueried.sort(Comparator.comparingLong(w -> -w.freeFor(step).cpuMillis()));
        return unqueried;
    }

    private boolean isUnqueried(Step step, PoolWorker worker) {
        return !step.mApprovals.isQueried(worker.mId) && mRound.isEligible(step, worker);
    }

    /**
     * Returns the number of workers to request so that enough of them are likely to be approved.
     */
    private static int queryCount(Step step, int tasks, int approved) {
        if (!step.mSpec.gang()) {
            return MAX_QUERIED_WORKERS;
        }
        double share = step.mApprovals.approvedShare(DEFAULT_APPROVED_SHARE);
        double count = Math.max(1, tasks - approved) / share * QUERY_MARGIN_FACTOR;
        return (int)
                Math.max(MAX_QUERIED_WORKERS, Math.min(MAX_QUERIED_FOR_GANG, Math.ceil(count)));
    }

    /**
     * Requests tickets, unless the round has no request of this kind left. Returns whether it has.
     */
    private boolean sendRequest(
            Step step, Collection<PoolWorker> workers, QueuePolicy.ApprovalPolicy approval) {
        double expectedMillis = approval.expectedCallMillis(workers.size());
        if (remainingRequests(expectedMillis) <= 0) {
            return false;
        }
        List<String> ids = workers.stream().map(worker -> worker.mId).toList();
        ApprovalRequest request =
                new ApprovalRequest(step.mKey, mRound.urgency(step), ids, expectedMillis);
        if (request.isLong()) {
            mRemainingLongRequests--;
        } else {
            mRemainingShortRequests--;
        }
        step.mApprovals.markRequested();
        step.mReservedUntilMillis =
                mNowMillis + (long) expectedMillis + PlacementRound.RESERVATION_MARGIN_MILLIS;
        mState.mOutput.addApprovalRequest(request);
        return true;
    }

    private int remainingRequests(double expectedMillis) {
        return expectedMillis >= ApprovalRequest.LONG_CALL_MILLIS
                ? mRemainingLongRequests
                : mRemainingShortRequests;
    }
}
