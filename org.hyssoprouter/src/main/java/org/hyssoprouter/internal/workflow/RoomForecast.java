package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.Room;

/**
 * Estimates when a step will have room without preemption, from the expected ends of the runs on
 * its workers. Valid for one placement round.
 *
 * <p>Answers a nearly full pool in which runs end all the time: stopping tasks costs their restart,
 * and workers kept free for a gang that cannot start soon are idle.
 */
final class RoomForecast {
    /** Share of its expected duration that a run is assumed to last beyond its expected end. */
    private static final double OVERRUN_SHARE = 0.25;

    private final PoolState mState;
    private final long mNowMillis;
    private final Map<PoolWorker, List<ExpectedEnd>> mEnds = new HashMap<>();

    RoomForecast(PoolState state, long nowMillis) {
        mState = state;
        mNowMillis = nowMillis;
    }

    private record ExpectedEnd(long atMillis, Room room) {}

    /** Room for some tasks on a worker from a time on. */
    private record Slots(long atMillis, PoolWorker worker, long count) {}

    /**
     * Expected start of a step.
     *
     * @param atMillis time from which all its tasks fit, in milliseconds; {@link Long#MAX_VALUE} if
     *     they do not fit on these workers at any time
     * @param workers workers that have room for a task by then
     */
    record Start(long atMillis, Collection<PoolWorker> workers) {}

    /** Returns when a number of tasks of a step will fit on some of the candidates. */
    Start startOf(Step step, int tasks, List<PoolWorker> candidates) {
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        int maxTasks = step.mSpec.limits().maxPerWorker();
        List<Slots> slots = new ArrayList<>();
        for (PoolWorker worker : candidates) {
            long limit = maxTasks > 0 ? maxTasks - step.taskCountOn(worker) : tasks;
            addSlots(slots, step, worker, room, Math.min(limit, tasks));
        }
        slots.sort(Comparator.comparingLong(Slots::atMillis));
        Set<PoolWorker> used = new LinkedHashSet<>();
        long found = 0;
        for (Slots next : slots) {
            used.add(next.worker());
            found += next.count();
            if (found >= tasks) {
                return new Start(next.atMillis(), used);
            }
        }
        return new Start(Long.MAX_VALUE, List.of());
    }

    private void addSlots(List<Slots> slots, Step step, PoolWorker worker, Room room, long limit) {
        Room free = worker.freeFor(step);
        long found = Math.min(limit, WorkerSelector.fitCount(room, free));
        if (found > 0) {
            slots.add(new Slots(mNowMillis, worker, found));
        }
        for (ExpectedEnd end : mEnds.computeIfAbsent(worker, this::expectedEnds)) {
            if (found >= limit) {
                return;
            }
            free = free.plus(end.room());
            long fitting = Math.min(limit, WorkerSelector.fitCount(room, free));
            if (fitting > found) {
                slots.add(new Slots(end.atMillis(), worker, fitting - found));
                found = fitting;
            }
        }
    }

    private List<ExpectedEnd> expectedEnds(PoolWorker worker) {
        List<ExpectedEnd> ends = new ArrayList<>();
        for (Task task : worker.tasks()) {
            if (!task.mStep.mSpec.habits().longRunning()) {
                ends.add(
                        new ExpectedEnd(
                                endMillis(task), WorkerSelector.requiredRoom(task.mStep.mSpec)));
            }
        }
        ends.sort(Comparator.comparingLong(ExpectedEnd::atMillis));
        return ends;
    }

    /** Returns when the run of a task is expected to end, in milliseconds. */
    long endMillis(Task task) {
        if (task.mPhase == Task.Phase.STOPPING) {
            return Math.max(mNowMillis, task.mPhaseMillis + mState.mLimits.stopMillis());
        }
        long durationMillis = mState.mDurations.taskMillis(task.mStep);
        long projectedMillis = task.expectedEndMillis();
        long endMillis = projectedMillis > 0 ? projectedMillis : task.mPhaseMillis + durationMillis;
        return endMillis > mNowMillis
                ? endMillis
                : mNowMillis + (long) (OVERRUN_SHARE * durationMillis);
    }
}
