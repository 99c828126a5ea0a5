package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/** Chooses bulk batch tasks that make room for urgent work, with the least work lost. */
final class PreemptionPlanner {
    private static final long REPEAT_MILLIS = 1_000;
    private static final int SAMPLE = 32;
    private static final int MAX_TASKS = 64;

    private final Fleet mFleet;
    private final LiveTasks mLive;
    private String mNextWorker = "";

    PreemptionPlanner(Fleet fleet, LiveTasks live) {
        mFleet = fleet;
        mLive = live;
    }

    /**
     * Returns the tasks to checkpoint and stop so that waiting tasks of an urgent job find room;
     * none for other jobs, and none again while an earlier choice may still take effect.
     */
    List<TaskEntry> victims(JobEntry job, Room room, long nowMillis) {
        boolean urgent = job.mSpec.trafficClass() == TrafficClass.URGENT;
        if (!urgent || nowMillis < job.mNextPreemptionMillis) {
            return List.of();
        }
        job.mNextPreemptionMillis = nowMillis + REPEAT_MILLIS;
        List<TaskEntry> victims = new ArrayList<>();
        Set<String> taken = new HashSet<>();
        int count = Math.min(MAX_TASKS, job.mWaiting.size());
        for (int i = 0; i < count; i++) {
            List<TaskEntry> next = cheapest(room, taken);
            if (next == null) {
                break;
            }
            taken.add(next.get(0).mWorker);
            victims.addAll(next);
        }
        return victims;
    }

    /** Returns the fewest tasks of one sampled worker that make enough room, or null. */
    private @Nullable List<TaskEntry> cheapest(Room room, Set<String> taken) {
        List<TaskEntry> best = null;
        for (String worker : mLive.workersWithBulk(mNextWorker, SAMPLE)) {
            mNextWorker = worker;
            if (taken.contains(worker) || !mFleet.isUsable(worker)) {
                continue;
            }
            List<TaskEntry> tasks = enough(worker, room);
            if (tasks != null && (best == null || tasks.size() < best.size())) {
                best = tasks;
            }
            if (best != null && best.size() == 1) {
                return best;
            }
        }
        return best;
    }

    private @Nullable List<TaskEntry> enough(String worker, Room room) {
        Room free = mFleet.roomTracker().free(worker);
        List<TaskEntry> tasks = new ArrayList<>();
        for (TaskEntry task : mLive.bulkOn(worker)) {
            if (task.mState == TaskState.STOPPING) {
                free = free.plus(task.mHeld);
                continue;
            }
            tasks.add(task);
            free = free.plus(task.mHeld);
            if (room.fitsIn(free)) {
                return tasks;
            }
        }
        return null;
    }
}
