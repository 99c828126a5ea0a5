package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/** Selects bulk batch tasks to preempt for urgent jobs, losing as little work as possible. */
final class PreemptionPlanner {
    // Time between two selections for one job, in which the earlier victims can stop.
    private static final long MIN_INTERVAL_MILLIS = 1_000;
    // Workers examined per waiting task.
    private static final int MAX_SAMPLED_WORKERS = 32;
    // Waiting tasks for which room is made in one selection.
    private static final int MAX_PREEMPTING_TASKS = 64;

    private final Fleet mFleet;
    private final LiveTasks mLiveTasks;
    // The next sample starts after this worker.
    private String mLastSampledWorker = "";

    PreemptionPlanner(Fleet fleet, LiveTasks liveTasks) {
        mFleet = fleet;
        mLiveTasks = liveTasks;
    }

    /**
     * Returns the tasks to checkpoint and stop so that waiting tasks of an urgent job can be
     * placed. The list is empty for other jobs, and while an earlier selection for the job may
     * still take effect.
     */
    List<TaskEntry> selectVictims(JobEntry job, Room room, long nowMillis) {
        boolean urgent = job.mSpec.trafficClass() == TrafficClass.URGENT;
        if (!urgent || nowMillis < job.mNextPreemptionMillis) {
            return List.of();
        }
        job.mNextPreemptionMillis = nowMillis + MIN_INTERVAL_MILLIS;
        List<TaskEntry> victims = new ArrayList<>();
        Set<String> usedWorkers = new HashSet<>();
        int count = Math.min(MAX_PREEMPTING_TASKS, job.mWaitingTasks.size());
        for (int i = 0; i < count; i++) {
            List<TaskEntry> next = fewestVictims(room, usedWorkers);
            if (next == null) {
                break;
            }
            usedWorkers.add(next.get(0).mWorker);
            victims.addAll(next);
        }
        return victims;
    }

    /**
     * Returns the smallest set of victims on one sampled worker that frees enough room, or null.
     */
    private @Nullable List<TaskEntry> fewestVictims(Room room, Set<String> usedWorkers) {
        List<TaskEntry> best = null;
        for (String worker :
                mLiveTasks.workersWithBulkTasks(mLastSampledWorker, MAX_SAMPLED_WORKERS)) {
            mLastSampledWorker = worker;
            if (usedWorkers.contains(worker) || !mFleet.isUsable(worker)) {
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

    /** Returns the newest bulk tasks whose end frees enough room on a worker, or null. */
    private @Nullable List<TaskEntry> victimsOn(String worker, Room room) {
        Room free = mFleet.roomTracker().free(worker);
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
