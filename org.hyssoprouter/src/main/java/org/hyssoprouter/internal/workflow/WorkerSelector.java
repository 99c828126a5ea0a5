package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;

/**
 * Selects workers for the tasks of a step. Prefers the rack that holds the data, then, for steps
 * that prefer a single rack, the rack with room for most tasks, then the worker with the least free
 * CPU on which a task fits (best fit), so that some workers stay empty for large tasks. A ranking
 * orders the workers of a rack before their free CPU does.
 */
final class WorkerSelector {
    /** More than the difference of any two values of slowness. */
    private static final int SPAN = 1 << 16;

    private WorkerSelector() {}

    /** A worker with its free CPU and the number of tasks that fit on it. */
    private record Candidate(
            PoolWorker worker, long freeCpuMillis, int slots, int cost, int slowness) {
        String rack() {
            return worker.entry().rack();
        }
    }

    /**
     * Selects a worker for each task that fits on one. For a gang, selects workers for all tasks or
     * for none.
     *
     * @param limit maximum number of tasks to place; of a gang, the number of its members
     * @param freeRoom returns the room of a worker that the tasks may use
     * @param ranking preference among the workers with room
     */
    static Map<Task, PoolWorker> select(
            Step step,
            int limit,
            List<PoolWorker> workers,
            Function<PoolWorker, Room> freeRoom,
            WorkerRanking ranking) {
        Map<PoolWorker, Integer> slots = new LinkedHashMap<>();
        long slotCount = 0;
        for (Candidate candidate : candidates(step, workers, freeRoom, ranking)) {
            slots.put(candidate.worker(), candidate.slots());
            slotCount += candidate.slots();
        }
        Map<Task, PoolWorker> plan = new LinkedHashMap<>();
        if (slots.isEmpty() || (step.mSpec.gang() && slotCount < limit)) {
            return plan;
        }
        Set<PoolWorker> unused = new LinkedHashSet<>();
        if (ranking.spreads()) {
            slots.keySet().stream()
                    .filter(worker -> step.taskCountOn(worker) == 0)
                    .forEach(unused::add);
        }
        for (Task task : step.placeableTasks((int) Math.min(limit, slotCount))) {
            PoolWorker chosen = chooseWorker(task, slots, unused);
            unused.remove(chosen);
            plan.put(task, chosen);
            slots.computeIfPresent(chosen, (worker, count) -> count > 1 ? count - 1 : null);
        }
        return plan;
    }

    /**
     * Returns the first worker with a free slot, of which there must be one, preferring those
     * without a task of a step whose tasks slow down each other, then those on which the task has
     * not failed.
     */
    private static PoolWorker chooseWorker(
            Task task, Map<PoolWorker, Integer> slots, Set<PoolWorker> unused) {
        for (PoolWorker worker : unused) {
            if (!task.mFailedWorkers.contains(worker.mId)) {
                return worker;
            }
        }
        for (PoolWorker worker : slots.keySet()) {
            if (!task.mFailedWorkers.contains(worker.mId)) {
                return worker;
            }
        }
        return slots.keySet().iterator().next();
    }

    private static List<Candidate> candidates(
            Step step,
            List<PoolWorker> workers,
            Function<PoolWorker, Room> freeRoom,
            WorkerRanking ranking) {
        Room room = requiredRoom(step.mSpec);
        List<Candidate> candidates = new ArrayList<>();
        for (PoolWorker worker : workers) {
            Room free = freeRoom.apply(worker);
            int slots = room.fitsIn(free) ? slotsOn(step, worker, room, free) : 0;
            if (slots > 0) {
                candidates.add(
                        new Candidate(
                                worker,
                                free.cpuMillis(),
                                slots,
                                ranking.cost(worker),
                                ranking.slowness(worker)));
            }
        }
        if (candidates.size() > 1) {
            candidates.sort(candidateOrder(step, candidates));
        }
        return candidates;
    }

    private static Comparator<Candidate> candidateOrder(Step step, List<Candidate> candidates) {
        StepSpec.Limits limits = step.mSpec.limits();
        String preferred = limits.preferredRack();
        if (step.needsTrial()) {
            // Another crash should end as few other runs as possible.
            return Comparator.comparingInt((Candidate it) -> it.worker().runCount());
        }
        Comparator<Candidate> byFreeCpu =
                byRanking(step, candidates).thenComparingLong(Candidate::freeCpuMillis);
        Comparator<Candidate> order = byFreeCpu;
        if (limits.sameRack()) {
            Map<String, Integer> slotsByRack = new HashMap<>();
            candidates.forEach(it -> slotsByRack.merge(it.rack(), it.slots(), Integer::sum));
            order =
                    Comparator.comparingInt(
                                    (Candidate it) -> -slotsByRack.getOrDefault(it.rack(), 0))
                            .thenComparing(Candidate::rack)
                            .thenComparing(byFreeCpu);
        }
        if (preferred.isEmpty()) {
            return order;
        }
        return Comparator.comparing((Candidate it) -> !it.rack().equals(preferred))
                .thenComparing(order);
    }

    /**
     * Orders workers by their cost and slowness. A gang is as slow as its slowest member: of the
     * quickest workers that together have room for it, the slowest come first, so that quicker ones
     * are not used beside them for nothing.
     */
    private static Comparator<Candidate> byRanking(Step step, List<Candidate> candidates) {
        if (!step.mSpec.gang()) {
            return Comparator.comparingInt(it -> it.cost() + it.slowness());
        }
        int limit = Integer.MAX_VALUE;
        long slots = 0;
        Comparator<Candidate> bySlowness = Comparator.comparingInt(Candidate::slowness);
        for (Candidate candidate : candidates.stream().sorted(bySlowness).toList()) {
            limit = candidate.slowness();
            slots += candidate.slots();
            if (slots >= step.mSpec.taskCount()) {
                break;
            }
        }
        int highest = limit;
        return Comparator.comparingInt(Candidate::cost)
                .thenComparingInt(
                        it ->
                                it.slowness() <= highest
                                        ? highest - it.slowness()
                                        : it.slowness() - highest + SPAN);
    }

    /** Returns the number of tasks that fit on a worker, within the limits of the step. */
    private static int slotsOn(Step step, PoolWorker worker, Room room, Room free) {
        long slots = fitCount(room, free);
        int maxTasks = step.mSpec.limits().maxPerWorker();
        if (maxTasks > 0) {
            slots = Math.min(slots, maxTasks - step.taskCountOn(worker));
        }
        return (int) Math.max(0, Math.min(slots, step.mSpec.taskCount()));
    }

    /** Returns the number of times that a room fits into a free one. */
    static long fitCount(Room room, Room free) {
        long count = Integer.MAX_VALUE;
        if (room.cpuMillis() > 0) {
            count = Math.min(count, free.cpuMillis() / room.cpuMillis());
        }
        if (room.memoryBytes() > 0) {
            count = Math.min(count, free.memoryBytes() / room.memoryBytes());
        }
        if (room.accelerators() > 0) {
            count = Math.min(count, free.accelerators() / room.accelerators());
        }
        return free.isNegative() ? 0 : count;
    }

    /**
     * Returns the room that a task of a step needs. Tasks that only use idle CPU time need no CPU
     * of their own.
     */
    static Room requiredRoom(StepSpec spec) {
        Room room = spec.room();
        return spec.habits().fills() ? new Room(0, room.memoryBytes(), room.accelerators()) : room;
    }

    /** Returns the room that a number of tasks need. */
    static Room multiply(Room room, int count) {
        return new Room(
                room.cpuMillis() * count, room.memoryBytes() * count, room.accelerators() * count);
    }
}
