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
 * Queue of the jobs with waiting tasks, ordered by traffic class. Within a class the customers are
 * served round-robin: the second queued job of a customer comes after the first job of every other
 * customer.
 */
final class JobQueue {
    private static final Comparator<JobEntry> ORDER =
            Comparator.<JobEntry>comparingLong(job -> job.mFairShareRound)
                    .thenComparingLong(job -> job.mSequence);

    private final Map<TrafficClass, ClassQueue> mQueues = new EnumMap<>(TrafficClass.class);
    private final PriorityQueue<DelayedTask> mDelayed =
            new PriorityQueue<>(Comparator.comparingLong(DelayedTask::readyMillis));

    /** Adds a new job to the next round of its customer. */
    void add(JobEntry job) {
        ClassQueue queue = queueOf(job);
        if (queue.mJobs.isEmpty()) {
            queue.mNextRounds.clear();
        }
        long currentRound = queue.mJobs.isEmpty() ? 0 : queue.mJobs.first().mFairShareRound;
        String customer = job.mSpec.customer();
        job.mFairShareRound = Math.max(currentRound, queue.mNextRounds.getOrDefault(customer, 0L));
        queue.mNextRounds.put(customer, job.mFairShareRound + 1);
        update(job);
    }

    /** Adds a job if it has waiting tasks and is not ending; removes it otherwise. */
    void update(JobEntry job) {
        TreeSet<JobEntry> jobs = queueOf(job).mJobs;
        if (job.mWaitingTasks.isEmpty() || job.isEnding()) {
            jobs.remove(job);
        } else {
            jobs.add(job);
        }
    }

    /** Adds a task that is in back-off until its ready time. */
    void addDelayed(JobEntry job, TaskEntry task) {
        mDelayed.add(new DelayedTask(task.mReadyMillis, job, task));
    }

    /** Removes and returns the tasks whose back-off has ended. */
    List<DelayedTask> takeDue(long nowMillis) {
        List<DelayedTask> ready = new ArrayList<>();
        DelayedTask next = mDelayed.peek();
        while (next != null && next.readyMillis() <= nowMillis) {
            ready.add(mDelayed.remove());
            next = mDelayed.peek();
        }
        return ready;
    }

    /**
     * Returns the job after the given one in queue order, or the first job if none is given.
     *
     * @param previous job to continue after, which may have been removed since, or null
     * @return the next job, or null at the end of the queue
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

    /** Task in back-off, with the time at which it may be placed again. */
    record DelayedTask(long readyMillis, JobEntry job, TaskEntry task) {}

    /** Jobs of one traffic class, and the round of the next job of each customer. */
    private static final class ClassQueue {
        private final TreeSet<JobEntry> mJobs = new TreeSet<>(ORDER);
        private final Map<String, Long> mNextRounds = new HashMap<>();
    }
}
