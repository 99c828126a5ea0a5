package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.TreeSet;
import org.hyssoprouter.lib.TrafficClass;

/** Jobs with tasks that wait for a worker, the more pressing class first, then by acceptance. */
final class JobQueue {
    private static final Comparator<JobEntry> ORDER =
            Comparator.<JobEntry, TrafficClass>comparing(job -> job.mSpec.trafficClass())
                    .thenComparingLong(job -> job.mNumber);

    private final TreeSet<JobEntry> mJobs = new TreeSet<>(ORDER);
    private final PriorityQueue<BackOff> mBackOffs =
            new PriorityQueue<>(Comparator.comparingLong(BackOff::readyMillis));

    /** Adds a job if it has waiting tasks and may still place them, else removes it. */
    void update(JobEntry job) {
        if (job.mWaiting.isEmpty() || job.isEnding()) {
            mJobs.remove(job);
        } else {
            mJobs.add(job);
        }
    }

    void addBackOff(JobEntry job, TaskEntry task) {
        mBackOffs.add(new BackOff(task.mReadyMillis, job, task));
    }

    /** Removes and returns the back-offs that are over. */
    List<BackOff> takeReady(long nowMillis) {
        List<BackOff> ready = new ArrayList<>();
        BackOff first = mBackOffs.peek();
        while (first != null && first.readyMillis() <= nowMillis) {
            ready.add(mBackOffs.remove());
            first = mBackOffs.peek();
        }
        return ready;
    }

    /** Returns the first jobs in their order. */
    List<JobEntry> first(int limit) {
        List<JobEntry> jobs = new ArrayList<>();
        for (JobEntry job : mJobs) {
            if (jobs.size() >= limit) {
                break;
            }
            jobs.add(job);
        }
        return jobs;
    }

    boolean isEmpty() {
        return mJobs.isEmpty();
    }

    /** A task that waits until an instant before it is tried again. */
    record BackOff(long readyMillis, JobEntry job, TaskEntry task) {}
}
