package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/**
 * Jobs with tasks that wait for a worker, the more pressing class first. Within a class customers
 * take turns: the second job that a customer has waiting comes after the first ones of all others.
 */
final class JobQueue {
    private static final Comparator<JobEntry> ORDER =
            Comparator.<JobEntry>comparingLong(job -> job.mTurn)
                    .thenComparingLong(job -> job.mNumber);

    private final Map<TrafficClass, Lane> mLanes = new EnumMap<>(TrafficClass.class);
    private final PriorityQueue<BackedOff> mBackedOff =
            new PriorityQueue<>(Comparator.comparingLong(BackedOff::readyMillis));

    /** Gives a new job its turn and adds it. */
    void enter(JobEntry job) {
        Lane lane = laneOf(job);
        if (lane.mJobs.isEmpty()) {
            lane.mNextTurns.clear();
        }
        long first = lane.mJobs.isEmpty() ? 0 : lane.mJobs.first().mTurn;
        String customer = job.mSpec.customer();
        job.mTurn = Math.max(first, lane.mNextTurns.getOrDefault(customer, 0L));
        lane.mNextTurns.put(customer, job.mTurn + 1);
        update(job);
    }

    /** Adds a job if it has waiting tasks and may still place them, else removes it. */
    void update(JobEntry job) {
        TreeSet<JobEntry> jobs = laneOf(job).mJobs;
        if (job.mWaiting.isEmpty() || job.isEnding()) {
            jobs.remove(job);
        } else {
            jobs.add(job);
        }
    }

    void addBackOff(JobEntry job, TaskEntry task) {
        mBackedOff.add(new BackedOff(task.mReadyMillis, job, task));
    }

    /** Removes and returns the back-offs that are over. */
    List<BackedOff> takeReady(long nowMillis) {
        List<BackedOff> ready = new ArrayList<>();
        BackedOff first = mBackedOff.peek();
        while (first != null && first.readyMillis() <= nowMillis) {
            ready.add(mBackedOff.remove());
            first = mBackedOff.peek();
        }
        return ready;
    }

    /**
     * Returns the job that comes after another in the order, or the first one.
     *
     * @param previous job that may have left the queue since, or null
     */
    @Nullable JobEntry next(@Nullable JobEntry previous) {
        for (Map.Entry<TrafficClass, Lane> entry : mLanes.entrySet()) {
            int order = compareClass(previous, entry.getKey());
            if (order > 0) {
                continue;
            }
            TreeSet<JobEntry> jobs = entry.getValue().mJobs;
            JobEntry next = null;
            if (previous != null && order == 0) {
                next = jobs.higher(previous);
            } else if (!jobs.isEmpty()) {
                next = jobs.first();
            }
            if (next != null) {
                return next;
            }
        }
        return null;
    }

    private static int compareClass(@Nullable JobEntry job, TrafficClass trafficClass) {
        return job == null ? -1 : job.mSpec.trafficClass().compareTo(trafficClass);
    }

    private Lane laneOf(JobEntry job) {
        return mLanes.computeIfAbsent(job.mSpec.trafficClass(), name -> new Lane());
    }

    /** A task that waits until an instant before it is tried again. */
    record BackedOff(long readyMillis, JobEntry job, TaskEntry task) {}

    /** Jobs of one class, and the turn of each customer's next job. */
    private static final class Lane {
        private final TreeSet<JobEntry> mJobs = new TreeSet<>(ORDER);
        private final Map<String, Long> mNextTurns = new HashMap<>();
    }
}
