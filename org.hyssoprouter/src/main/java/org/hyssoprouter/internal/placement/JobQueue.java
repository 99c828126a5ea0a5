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
            Comparator.<JobEntry>comparingLong(job -> job.mFairShareRound)
                    .thenComparingLong(job -> job.mSequence);

    private final Map<TrafficClass, ClassQueue> mQueues = new EnumMap<>(TrafficClass.class);
    private final PriorityQueue<DelayedTask> mDelayed =
            new PriorityQueue<>(Comparator.comparingLong(DelayedTask::readyMillis));

    /** Gives a new job its turn and adds it. */
    void add(JobEntry job) {
        ClassQueue lane = queueOf(job);
        if (lane.mJobs.isEmpty()) {
            lane.mNextRounds.clear();
        }
        long first = lane.mJobs.isEmpty() ? 0 : lane.mJobs.first().mFairShareRound;
        String customer = job.mSpec.customer();
        job.mFairShareRound = Math.max(first, lane.mNextRounds.getOrDefault(customer, 0L));
        lane.mNextRounds.put(customer, job.mFairShareRound + 1);
        update(job);
    }

    /** Adds a job if it has waiting tasks and may still place them, else removes it. */
    void update(JobEntry job) {
        TreeSet<JobEntry> jobs = queueOf(job).mJobs;
        if (job.mWaitingTasks.isEmpty() || job.isEnding()) {
            jobs.remove(job);
        } else {
            jobs.add(job);
        }
    }

    void addDelayed(JobEntry job, TaskEntry task) {
        mDelayed.add(new DelayedTask(task.mReadyMillis, job, task));
    }

    /** Removes and returns the back-offs that are over. */
    List<DelayedTask> takeDue(long nowMillis) {
        List<DelayedTask> ready = new ArrayList<>();
        DelayedTask first = mDelayed.peek();
        while (first != null && first.readyMillis() <= nowMillis) {
            ready.add(mDelayed.remove());
            first = mDelayed.peek();
        }
        return ready;
    }

    /**
     * Returns the job that comes after another in the order, or the first one.
     *
     * @param previous job that may have left the queue since, or null
     */
    @Nullable JobEntry next(@Nullable JobEntry previous) {
        for (Map.Entry<TrafficClass, ClassQueue> entry : mQueues.entrySet()) {
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

    private ClassQueue queueOf(JobEntry job) {
        return mQueues.computeIfAbsent(job.mSpec.trafficClass(), name -> new ClassQueue());
    }

    /** A task that waits until an instant before it is tried again. */
    record DelayedTask(long readyMillis, JobEntry job, TaskEntry task) {}

    /** Jobs of one class, and the turn of each customer's next job. */
    private static final class ClassQueue {
        private final TreeSet<JobEntry> mJobs = new TreeSet<>(ORDER);
        private final Map<String, Long> mNextRounds = new HashMap<>();
    }
}
