package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.QueuePolicy;

/**
 * Places steps whose workers need the approval of an outside service. The set of approved workers
 * of a step never changes, but its tickets expire. Load pattern: a pool that is nearly full, in
 * which steps wait longer than their tickets last; asking only once room is free would leave that
 * room idle for the time of the call, again and again.
 */
final class ApprovedPlacement {
    /** A ticket must be valid for so long after the decision: commit and way of the order. */
    static final long TICKET_MARGIN_MILLIS = 250;

    /** Most workers named for one step at first, and to renew tickets. */
    static final int MAX_QUERIED_WORKERS = 40;

    /** Most workers that the service takes in one call. */
    static final int MAX_QUERIED_FOR_GANG = 100;

    /** Share of the workers that is expected to be approved before any answer. */
    static final double DEFAULT_APPROVED_SHARE = 0.4;

    /** Factor on the number of workers named, since the approved share varies from step to step. */
    static final double QUERY_MARGIN_FACTOR = 1.3;

    /** Longest call that is made to keep tickets valid for a step that finds no room yet. */
    static final double MAX_RENEWAL_CALL_MILLIS = 250;

    /** Gangs, from the front of the line, for which room is made at a time. */
    static final int MAX_PREEMPTING_GANGS = 4;

    /**
     * Approved workers of which a step needs no more, if they hold its tasks so many times over.
     */
    static final int MIN_APPROVED_WORKERS = 10;

    static final int MIN_CAPACITY_FACTOR = 3;

    /** Steps, from the front of the line, whose tickets are renewed while they find no room. */
    static final int MAX_RENEWED_STEPS = 24;

    private final PoolState mState;
    private final PlacementRound mRound;
    private final long mNowMillis;
    private int mUnplacedSteps;
    private int mPreemptingGangs;

    ApprovedPlacement(PoolState state, PlacementRound round, long nowMillis) {
        mState = state;
        mRound = round;
        mNowMillis = nowMillis;
    }

    void place(
            Step step, List<Task> tasks, QueuePolicy policy, QueuePolicy.ApprovalPolicy approval) {
        List<PoolWorker> approved = new ArrayList<>();
        List<PoolWorker> ticketed = new ArrayList<>();
        for (String id : step.mApprovals.approvedWorkers()) {
            PoolWorker worker = mState.mWorkers.get(id);
            boolean open =
                    worker != null
                            && mRound.isSchedulable(worker, policy.pool())
                            && mRound.isEligible(step, worker);
            if (open) {
                approved.add(worker);
                if (step.mApprovals.hasTicket(id, mNowMillis + TICKET_MARGIN_MILLIS)) {
                    ticketed.add(worker);
                }
            }
        }
        List<Task> left = tasks;
        if (!ticketed.isEmpty()) {
            mRound.assign(step, mRound.plan(step, tasks, ticketed));
            left = step.placeableTasks();
        }
        if (left.isEmpty()) {
            return;
        }
        mUnplacedSteps++;
        if (step.mSpec.gang() && !step.mReservedTasks.isEmpty()) {
            mPreemptingGangs++;
        }
        if (step.mApprovals.mayRequest(mNowMillis)) {
            requestApproval(step, left, approved, policy, approval);
        }
    }

    private void requestApproval(
            Step step,
            List<Task> left,
            List<PoolWorker> approved,
            QueuePolicy policy,
            QueuePolicy.ApprovalPolicy approval) {
        Map<Task, PoolWorker> wanted = mRound.plan(step, left, approved);
        if (!wanted.isEmpty()) {
            mRound.reserve(step, wanted);
            sendRequest(
                    step, addCheapRenewals(wanted.values(), approved, approval), policy, approval);
            return;
        }
        boolean gathers = !step.mSpec.gang() || ++mPreemptingGangs <= MAX_PREEMPTING_GANGS;
        if (gathers && mRound.preempt(step, left, approved)) {
            sendRequest(step, step.mReservedTasks.keySet(), policy, approval);
            return;
        }
        List<PoolWorker> unnamed =
                hasEnoughWorkers(step, approved) ? List.of() : unqueriedWorkers(step, policy);
        if (!unnamed.isEmpty()) {
            int count = Math.min(unnamed.size(), queryCount(step, left.size(), approved.size()));
            sendRequest(step, unnamed.subList(0, count), policy, approval);
            return;
        }
        if (step.mSpec.gang()) {
            mRound.claimWorkers(step, approved);
        }
        if (mUnplacedSteps <= MAX_RENEWED_STEPS) {
            renewTickets(step, approved, policy, approval);
        }
    }

    /** Returns whether a step can hope for room on the workers that it is approved for. */
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

    /** Renews the tickets of a step that finds no room, before the last of them expires. */
    private void renewTickets(
            Step step,
            List<PoolWorker> approved,
            QueuePolicy policy,
            QueuePolicy.ApprovalPolicy approval) {
        Set<PoolWorker> named = addCheapRenewals(List.of(), approved, approval);
        long callMillis = (long) approval.expectedCallMillis(named.size());
        long untilMillis = mNowMillis + TICKET_MARGIN_MILLIS + callMillis;
        boolean valid =
                approved.stream().anyMatch(w -> step.mApprovals.hasTicket(w.mId, untilMillis));
        if (!valid && !named.isEmpty()) {
            sendRequest(step, named, policy, approval);
        }
    }

    /**
     * Adds approved workers whose tickets cost little, so that the step may start wherever room
     * becomes free next.
     */
    private static Set<PoolWorker> addCheapRenewals(
            Iterable<PoolWorker> wanted,
            List<PoolWorker> approved,
            QueuePolicy.ApprovalPolicy approval) {
        Set<PoolWorker> named = new LinkedHashSet<>();
        wanted.forEach(named::add);
        for (PoolWorker worker : approved) {
            boolean cheap =
                    approval.expectedCallMillis(named.size() + 1) <= MAX_RENEWAL_CALL_MILLIS;
            if (named.size() < MAX_QUERIED_WORKERS && cheap) {
                named.add(worker);
            }
        }
        return named;
    }

    /** Returns the workers that the service was not asked about, if one of them would help. */
    private List<PoolWorker> unqueriedWorkers(Step step, QueuePolicy policy) {
        boolean none = step.mApprovals.approvedWorkers().isEmpty();
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        List<PoolWorker> unnamed = new ArrayList<>();
        boolean fits = none;
        for (PoolWorker worker : mRound.schedulableWorkers(policy.pool())) {
            if (!step.mApprovals.isQueried(worker.mId) && mRound.isEligible(step, worker)) {
                unnamed.add(worker);
                fits |= room.fitsIn(worker.freeFor(step));
            }
        }
        if (!fits) {
            return List.of();
        }
        unnamed.sort(Comparator.comparingLong(w -> -w.freeFor(step).cpuMillis()));
        return unnamed;
    }

    /** Returns how many workers to name so that enough of them are approved. */
    private static int queryCount(Step step, int tasks, int approved) {
        if (!step.mSpec.gang()) {
            return MAX_QUERIED_WORKERS;
        }
        double share = step.mApprovals.approvedShare(DEFAULT_APPROVED_SHARE);
        double wanted = Math.max(1, tasks - approved) / share * QUERY_MARGIN_FACTOR;
        return (int)
                Math.max(MAX_QUERIED_WORKERS, Math.min(MAX_QUERIED_FOR_GANG, Math.ceil(wanted)));
    }

    private void sendRequest(
            Step step,
            Iterable<PoolWorker> workers,
            QueuePolicy policy,
            QueuePolicy.ApprovalPolicy approval) {
        List<String> names = new ArrayList<>();
        workers.forEach(worker -> names.add(worker.mId));
        double expectedMillis = approval.expectedCallMillis(names.size());
        step.mApprovals.markRequested();
        step.mReservedUntilMillis =
                mNowMillis + (long) expectedMillis + PlacementRound.RESERVATION_MARGIN_MILLIS;
        mState.mOutput.addApprovalRequest(
                new ApprovalRequest(step.mKey, policy.priority(), names, expectedMillis));
    }
}
