package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * Chooses workers for the tasks of a step: the rack of the data first, then the fullest worker that
 * still has room, so that wide tasks find some workers empty.
 */
final class WorkerSelector {
    private WorkerSelector() {}

    /** A worker with the room that counts as free on it, and the tasks that fit into that. */
    private record Candidate(PoolWorker worker, long freeCpuMillis, int slots) {
        String rack() {
            return worker.entry().rack();
        }
    }

    /**
     * Chooses a worker for each task that finds one; of a gang for all tasks or none.
     *
     * @param freeRoom room that counts as free on a worker
     */
    static Map<Task, PoolWorker> select(
            Step step,
            List<Task> tasks,
            List<PoolWorker> from,
            Function<PoolWorker, Room> freeRoom) {
        Map<PoolWorker, Integer> slots = new LinkedHashMap<>();
        for (Candidate candidate : candidates(step, from, freeRoom)) {
            slots.put(candidate.worker(), candidate.slots());
        }
        Map<Task, PoolWorker> plan = new LinkedHashMap<>();
        if (slots.isEmpty()) {
            return plan;
        }
        for (Task task : tasks) {
            PoolWorker chosen = chooseWorker(task, slots);
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

    private static @Nullable PoolWorker chooseWorker(Task task, Map<PoolWorker, Integer> slots) {
        PoolWorker second = null;
        for (Map.Entry<PoolWorker, Integer> entry : slots.entrySet()) {
            if (entry.getValue() <= 0) {
                continue;
            }
            if (!task.mFailedWorkers.contains(entry.getKey().mId)) {
                return entry.getKey();
            }
            if (second == null) {
                second = entry.getKey();
            }
        }
        return second;
    }

    private static List<Candidate> candidates(
            Step step, List<PoolWorker> from, Function<PoolWorker, Room> freeRoom) {
        Room room = requiredRoom(step.mSpec);
        List<Candidate> candidates = new ArrayList<>();
        for (PoolWorker worker : from) {
            Room free = freeRoom.apply(worker);
            int slots = room.fitsIn(free) ? slotsOn(step, worker, room, free) : 0;
            if (slots > 0) {
                candidates.add(new Candidate(worker, free.cpuMillis(), slots));
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
        Comparator<Candidate> byFree = Comparator.comparingLong(Candidate::freeCpuMillis);
        Comparator<Candidate> order = byFree;
        if (limits.sameRack()) {
            Map<String, Integer> racks = new HashMap<>();
            candidates.forEach(it -> racks.merge(it.rack(), it.slots(), Integer::sum));
            order =
                    Comparator.comparingInt((Candidate it) -> -racks.getOrDefault(it.rack(), 0))
                            .thenComparing(Candidate::rack)
                            .thenComparing(byFree);
        }
        if (preferred.isEmpty()) {
            return order;
        }
        return Comparator.comparing((Candidate it) -> !it.rack().equals(preferred))
                .thenComparing(order);
    }

    private static int slotsOn(Step step, PoolWorker worker, Room room, Room free) {
        long slots = fitCount(room, free);
        int bound = step.mSpec.limits().maxPerWorker();
        if (bound > 0) {
            slots = Math.min(slots, bound - step.taskCountOn(worker));
        }
        return (int) Math.max(0, Math.min(slots, step.mSpec.taskCount()));
    }

    /** Returns how often a room fits into another one. */
    static long fitCount(Room room, Room free) {
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
    static Room requiredRoom(StepSpec spec) {
        Room room = spec.room();
        return spec.habits().fills() ? new Room(0, room.memoryBytes(), room.accelerators()) : room;
    }

    /** Returns the room that so many tasks take. */
    static Room multiply(Room room, int count) {
        return new Room(
                room.cpuMillis() * count, room.memoryBytes() * count, room.accelerators() * count);
    }
}
