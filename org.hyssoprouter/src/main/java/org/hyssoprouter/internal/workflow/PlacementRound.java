package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.jspecify.annotations.Nullable;

/**
 * One round of placement over all steps that wait, the most urgent first. A gang is placed whole or
 * not at all; one that does not fit claims workers, so that later steps do not keep them full. Load
 * pattern: small tasks arrive all the time beside wide gangs of large ones.
 */
final class PlacementRound {
    /** Age of the last report up to which a worker gets new runs: two polls and a timeout. */
    static final long CONTACT_MILLIS = 2_500;

    /** A ticket must be valid for so long after the decision: commit and way of the order. */
    static final long TICKET_MARGIN_MILLIS = 250;

    /** Most workers named in one request; the service takes time for each. */
    static final int MAX_NAMED = 40;

    /** Reservations end so long after the expected answer. */
    static final long RESERVE_SLACK_MILLIS = 1_500;

    /** Gangs that may claim workers at a time. */
    static final int MAX_CLAIMS = 2;

    private final PoolState mState;
    private final long mNowMillis;
    private final Map<PoolWorker, Step> mClaims = new HashMap<>();
    private final Map<String, List<PoolWorker>> mUsable = new HashMap<>();
    private final Preemption mPreemption;
    private int mClaimants;

    PlacementRound(PoolState state, long nowMillis) {
        mState = state;
        mNowMillis = nowMillis;
        mPreemption = new Preemption(state, this::priority, nowMillis);
    }

    void run() {
        List<Step> steps = new ArrayList<>(mState.mWaiting);
        steps.sort(
                Comparator.comparingInt(this::priority)
                        .thenComparingLong(step -> step.mWorkflow.mSeenMillis));
        for (Step step : steps) {
            List<Task> tasks = step.placeable();
            if (tasks.isEmpty()) {
                if (step.count(Task.Phase.WAITING) == 0) {
                    mState.mWaiting.remove(step);
                }
                continue;
            }
            Option<QueuePolicy> policy = mState.policyOf(step.mWorkflow);
            if (policy.isDefined()) {
                place(step, tasks, policy.get());
            }
        }
    }

    private int priority(Step step) {
        return mState.policyOf(step.mWorkflow).map(QueuePolicy::priority).getOrElse(0);
    }

    private void place(Step step, List<Task> tasks, QueuePolicy policy) {
        expireReservation(step);
        List<PoolWorker> candidates = new ArrayList<>();
        for (PoolWorker worker : usable(policy.pool())) {
            Step claimant = mClaims.get(worker);
            boolean claimed = claimant != null && !claimant.equals(step);
            if (!claimed && worker.fits(step.mSpec) && !step.mAvoided.contains(worker.mId)) {
                candidates.add(worker);
            }
        }
        if (policy.approval().isDefined()) {
            placeApproved(step, tasks, candidates, policy);
            return;
        }
        assign(step, plan(step, tasks, candidates));
        List<Task> left = step.placeable();
        if (!left.isEmpty() && !preempt(step, left, candidates) && step.mSpec.gang()) {
            claim(step, candidates);
        }
    }

    private void placeApproved(
            Step step, List<Task> tasks, List<PoolWorker> candidates, QueuePolicy policy) {
        List<PoolWorker> ticketed = new ArrayList<>();
        List<PoolWorker> approved = new ArrayList<>();
        List<PoolWorker> unnamed = new ArrayList<>();
        for (PoolWorker worker : candidates) {
            if (!step.mApprovals.isNamed(worker.mId)) {
                unnamed.add(worker);
            } else if (step.mApprovals.isApproved(worker.mId)) {
                approved.add(worker);
                if (step.mApprovals.hasTicket(worker.mId, mNowMillis + TICKET_MARGIN_MILLIS)) {
                    ticketed.add(worker);
                }
            }
        }
        Map<Task, PoolWorker> plan = plan(step, tasks, ticketed);
        assign(step, plan);
        List<Task> left = step.placeable();
        if (left.isEmpty() || !step.mApprovals.mayAsk(mNowMillis)) {
            return;
        }
        Map<Task, PoolWorker> wanted = plan(step, left, approved);
        if (!wanted.isEmpty()) {
            reserve(step, wanted);
            ask(step, new ArrayList<>(new HashSet<>(wanted.values())), policy);
            return;
        }
        if (preempt(step, left, approved)) {
            ask(step, new ArrayList<>(step.mReserved.keySet()), policy);
            return;
        }
        if (!unnamed.isEmpty() && worthAsking(step, unnamed)) {
            unnamed.sort(Comparator.comparingLong(w -> -w.freeFor(step).cpuMillis()));
            ask(step, unnamed.subList(0, Math.min(MAX_NAMED, unnamed.size())), policy);
            return;
        }
        if (step.mSpec.gang()) {
            claim(step, approved);
        }
    }

    private static boolean worthAsking(Step step, List<PoolWorker> unnamed) {
        if (step.mApprovals.approvedCount() == 0) {
            return true;
        }
        Room room = roomOf(step.mSpec);
        return unnamed.stream().anyMatch(worker -> room.fitsIn(worker.freeFor(step)));
    }

    private void ask(Step step, List<PoolWorker> workers, QueuePolicy policy) {
        List<String> names = new ArrayList<>();
        workers.forEach(worker -> names.add(worker.mId));
        double expectedMillis =
                policy.approval().map(a -> a.callMillis(names.size())).getOrElse(0.0);
        step.mApprovals.asked();
        step.mReservedUntilMillis = mNowMillis + (long) expectedMillis + RESERVE_SLACK_MILLIS;
        mState.mEffects.ask(
                new ApprovalRequest(step.mKey, policy.priority(), names, expectedMillis));
    }

    /** Reserves workers on which less urgent tasks are stopped; returns whether that helps. */
    private boolean preempt(Step step, List<Task> tasks, List<PoolWorker> from) {
        if (!step.mReserved.isEmpty()) {
            return true;
        }
        Map<Task, PoolWorker> wanted =
                plan(step, tasks, from, worker -> mPreemption.reachable(step, worker));
        if (wanted.isEmpty()) {
            return false;
        }
        reserve(step, wanted);
        step.mReservedUntilMillis = mNowMillis + mState.mLimits.stopMillis() + RESERVE_SLACK_MILLIS;
        Room room = roomOf(step.mSpec);
        step.mReserved.forEach(
                (worker, count) -> mPreemption.makeRoom(step, worker, times(room, count)));
        return true;
    }

    private void expireReservation(Step step) {
        if (!step.mReserved.isEmpty() && step.mReservedUntilMillis < mNowMillis) {
            step.dropReservations();
        }
    }

    private void reserve(Step step, Map<Task, PoolWorker> plan) {
        step.dropReservations();
        plan.values().forEach(worker -> step.mReserved.merge(worker, 1, Integer::sum));
        Room room = roomOf(step.mSpec);
        step.mReserved.forEach((worker, count) -> worker.mReserved.put(step, times(room, count)));
    }

    private static Room times(Room room, int count) {
        return new Room(
                room.cpuMillis() * count, room.memoryBytes() * count, room.accelerators() * count);
    }

    /** Keeps later steps off the workers on which a gang will fit soonest. */
    private void claim(Step step, List<PoolWorker> approved) {
        if (mClaimants >= MAX_CLAIMS) {
            return;
        }
        mClaimants++;
        Room room = roomOf(step.mSpec);
        List<PoolWorker> byFree = new ArrayList<>(approved);
        byFree.sort(Comparator.comparingLong(w -> -w.freeFor(step).cpuMillis()));
        long missing = step.mSpec.taskCount();
        for (PoolWorker worker : byFree) {
            if (missing <= 0) {
                return;
            }
            missing -= Math.max(1, timesIn(room, worker.entry().capacity()) / 2);
            mClaims.putIfAbsent(worker, step);
        }
    }

    private Map<Task, PoolWorker> plan(Step step, List<Task> tasks, List<PoolWorker> from) {
        return plan(step, tasks, from, worker -> worker.freeFor(step));
    }

    /** Chooses workers by the room that counts as free; of a gang for all tasks or none. */
    private static Map<Task, PoolWorker> plan(
            Step step,
            List<Task> tasks,
            List<PoolWorker> from,
            Function<PoolWorker, Room> freeRoom) {
        Map<Task, PoolWorker> plan = new LinkedHashMap<>();
        Map<PoolWorker, Integer> slots = new LinkedHashMap<>();
        for (PoolWorker worker : inOrder(step, from)) {
            int free = slots(step, worker, freeRoom.apply(worker));
            if (free > 0) {
                slots.put(worker, free);
            }
        }
        for (Task task : tasks) {
            PoolWorker chosen = choose(task, slots);
            if (chosen == null) {
                if (step.mSpec.gang()) {
                    return Map.of();
                }
                continue;
            }
            plan.put(task, chosen);
            slots.merge(chosen, -1, Integer::sum);
        }
        return plan;
    }

    private static @Nullable PoolWorker choose(Task task, Map<PoolWorker, Integer> slots) {
        PoolWorker second = null;
        for (Map.Entry<PoolWorker, Integer> entry : slots.entrySet()) {
            if (entry.getValue() <= 0) {
                continue;
            }
            if (!task.mFailedOn.contains(entry.getKey().mId)) {
                return entry.getKey();
            }
            if (second == null) {
                second = entry.getKey();
            }
        }
        return second;
    }

    /** Orders workers: the rack of the data first, then the fullest that still has room. */
    private static List<PoolWorker> inOrder(Step step, List<PoolWorker> workers) {
        String rack = step.mSpec.limits().preferredRack();
        Map<String, Long> racks = new HashMap<>();
        if (step.mSpec.limits().sameRack()) {
            for (PoolWorker worker : workers) {
                racks.merge(
                        worker.entry().rack(),
                        (long) slots(step, worker, worker.freeFor(step)),
                        Long::sum);
            }
        }
        List<PoolWorker> ordered = new ArrayList<>(workers);
        ordered.sort(
                Comparator.comparing((PoolWorker w) -> !w.entry().rack().equals(rack))
                        .thenComparing(w -> -racks.getOrDefault(w.entry().rack(), 0L))
                        .thenComparing(
                                w ->
                                        w.entry().rack().isEmpty() || racks.isEmpty()
                                                ? ""
                                                : w.entry().rack())
                        .thenComparingLong(w -> w.freeFor(step).cpuMillis()));
        return ordered;
    }

    private static int slots(Step step, PoolWorker worker, Room free) {
        long slots = timesIn(roomOf(step.mSpec), free);
        int bound = step.mSpec.limits().maxPerWorker();
        if (bound > 0) {
            slots = Math.min(slots, bound - step.tasksOn(worker));
        }
        return (int) Math.max(0, Math.min(slots, step.mSpec.taskCount()));
    }

    private static long timesIn(Room room, Room free) {
        long times = Integer.MAX_VALUE;
        if (room.cpuMillis() > 0) {
            times = Math.min(times, free.cpuMillis() / room.cpuMillis());
        }
        if (room.memoryBytes() > 0) {
            times = Math.min(times, free.memoryBytes() / room.memoryBytes());
        }
        if (room.accelerators() > 0) {
            times = Math.min(times, free.accelerators() / room.accelerators());
        }
        return free.isNegative() ? 0 : times;
    }

    /** Returns the room that a task takes; one that only fills takes no processor of its own. */
    static Room roomOf(StepSpec spec) {
        Room room = spec.room();
        return spec.habits().fills() ? new Room(0, room.memoryBytes(), room.accelerators()) : room;
    }

    private void assign(Step step, Map<Task, PoolWorker> plan) {
        if (plan.isEmpty()) {
            return;
        }
        step.dropReservations();
        Map<Task, Integer> runs = new LinkedHashMap<>();
        plan.keySet().forEach(task -> runs.put(task, step.nextRun(task)));
        Room room = roomOf(step.mSpec);
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

    private List<PoolWorker> usable(String pool) {
        return mUsable.computeIfAbsent(
                pool,
                name -> {
                    List<PoolWorker> workers = new ArrayList<>();
                    for (PoolWorker worker : mState.mWorkers.values()) {
                        boolean member = worker.entry().pool().equals(name);
                        if (member && worker.isUsable(mNowMillis, CONTACT_MILLIS)) {
                            workers.add(worker);
                        }
                    }
                    return workers;
                });
    }
}
