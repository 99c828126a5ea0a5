package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.jspecify.annotations.Nullable;

/** Indexes the live tasks: held room by customer, and bulk batch tasks by worker. */
final class LiveTasks {
    private final Map<String, Room> mRoomByCustomer = new HashMap<>();
    private final TreeMap<String, LinkedHashSet<TaskEntry>> mBulkTasksByWorker = new TreeMap<>();

    void add(JobEntry job, TaskEntry task) {
        mRoomByCustomer.merge(job.mSpec.customer(), task.mHeldRoom, Room::plus);
        if (isBulk(job)) {
            mBulkTasksByWorker
                    .computeIfAbsent(task.mWorker, worker -> new LinkedHashSet<>())
                    .add(task);
        }
    }

    void remove(JobEntry job, TaskEntry task) {
        mRoomByCustomer.computeIfPresent(
                job.mSpec.customer(), (name, room) -> nullIfNone(room.minus(task.mHeldRoom)));
        LinkedHashSet<TaskEntry> bulk = mBulkTasksByWorker.get(task.mWorker);
        if (bulk != null && bulk.remove(task) && bulk.isEmpty()) {
            mBulkTasksByWorker.remove(task.mWorker);
        }
    }

    /** Returns the room that the live tasks of a customer hold. */
    Room usedBy(String customer) {
        return mRoomByCustomer.getOrDefault(customer, Room.NONE);
    }

    /**
     * Returns workers that run bulk tasks, in cyclic order of their names.
     *
     * @param after name after which to start; need not exist
     * @param limit maximum number of workers to return
     */
    List<String> workersWithBulkTasks(String after, int limit) {
        List<String> workers = new ArrayList<>();
        for (String worker : mBulkTasksByWorker.tailMap(after, false).keySet()) {
            if (workers.size() >= limit) {
                return workers;
            }
            workers.add(worker);
        }
        for (String worker : mBulkTasksByWorker.headMap(after, true).keySet()) {
            if (workers.size() >= limit) {
                return workers;
            }
            workers.add(worker);
        }
        return workers;
    }

    /** Returns the bulk tasks on a worker, newest first. */
    List<TaskEntry> bulkTasksOn(String worker) {
        List<TaskEntry> tasks =
                new ArrayList<>(mBulkTasksByWorker.getOrDefault(worker, new LinkedHashSet<>()));
        Collections.reverse(tasks);
        return tasks;
    }

    private static boolean isBulk(JobEntry job) {
        return job.mSpec.kind() == WorkKind.BATCH && job.mSpec.trafficClass() == TrafficClass.BULK;
    }

    private static @Nullable Room nullIfNone(Room room) {
        return room.equals(Room.NONE) ? null : room;
    }
}
