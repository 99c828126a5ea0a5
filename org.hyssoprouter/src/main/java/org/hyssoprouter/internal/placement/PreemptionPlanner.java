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
    private static final long MIN_INTERVAL_MILLIS = 1_000;
    private static final int MAX_SAMPLED_WORKERS = 32;
    private static final int MAX_PREEMPTING_TASKS = 64;

    private final Fleet mFleet;
    private final LiveTasks mLiveTasks;
    private String mLastSampledWorker = "";

    PreemptionPlanner(Fleet fleet, LiveTasks live) {
        mFleet = fleet;
        mLiveTasks = live;
    }

    /**
     * Returns the tasks to checkpoint and stop so that waiting tasks of an urgent job find room;
     * none for other jobs, and none again while an earlier choice may still take effect.
     */
    List<TaskEntry> selectVictims(JobEntry job, Room room, long nowMillis) {
        boolean urgent = job.mSpec.trafficClass() == TrafficClass.URGENT;
        if (!urgent || nowMillis < job.mNextPreemptionMillis) {
            return List.of();
        }
        job.mNextPreemptionMillis = nowMillis + MIN_INTERVAL_MILLIS;
        List<TaskEntry> victims = new ArrayList<>();
        Set<String> taken = new HashSet<>();
        int count = Math.min(MAX_PREEMPTING_TASKS, job.mWaitingTasks.size());
        for (int i = 0; i < count; i++) {
            List<TaskEntry> next = fewestVictims(room, taken);
            if (next == null) {
                break;
            }
            taken.add(next.get(0).mWorker);
            victims.addAll(next);
        }
        return victims;
    }

    /** Returns the fewest tasks of one sampled worker that make enough room, or null. */
    private @Nullable List<TaskEntry> fewestVictims(Room room, Set<String> taken) {
        List<TaskEntry> best = null;
        for (String worker :
                mLiveTasks.workersWithBulkTasks(mLastSampledWorker, MAX_SAMPLED_WORKERS)) {
            mLastSampledWorker = worker;
            if (taken.contains(worker) || !mFleet.isUsable(worker)) {
                continue;
            }
            List<TaskEntry> tasks = victimsOn(worker, room);
            if (tasks != null && (best == null || tasks.size() < best.size())) {
                best = tasks;
            }
            if (best != null && best.size() == 1) {
                return best;
            }
        }
        return best;
    }

    private @Nullable List<TaskEntry> victimsOn(String worker, Room room) {
        Room free = mFleet.ledger().free(worker);
        List<TaskEntry> tasks = new ArrayList<>();
        for (TaskEntry task : mLiveTasks.bulkTasksOn(worker)) {
            if (task.mState == TaskState.STOPPING) {
                free = free.plus(task.mHeldRoom);
                continue;
            }
            tasks.add(task);
            free = free.plus(task.mHeldRoom);
            if (room.fitsIn(free)) {
                return tasks;
            }
        }
        return null;
    }
}
