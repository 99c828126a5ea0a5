package org.hyssoprouter.internal.placement;

import java.util.Set;
import java.util.TreeSet;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;

/** Mutable state of one job; changed by {@link JobScheduler} only. */
final class JobEntry {
    final JobSpec mSpec;
    final long mAcceptedWallMillis;
    // Order of acceptance within the shard.
    final long mSequence;
    final TaskEntry[] mTasks;
    final TreeSet<Integer> mWaitingTasks = new TreeSet<>();
    // Indexes of the tasks whose last attempt may run somewhere.
    final TreeSet<Integer> mLiveTasks = new TreeSet<>();
    final TaskSpread mSpread = new TaskSpread();
    JobState mState = JobState.PENDING;
    String mReason = "";
    int mPendingCount;
    int mSucceededCount;
    // Set when the last try found no worker, as opposed to no quota.
    boolean mWaitsForRoom;
    long mBlockedSinceMillis;
    long mNextPreemptionMillis = Long.MIN_VALUE;
    // Position among the jobs of its class; see JobQueue.
    long mFairShareRound;
    boolean mCancelled;
    // Reason of the failure that ends the job once its other tasks have stopped.
    String mFailure = "";
    long mFirstStartWallMillis;
    long mEndedWallMillis;

    JobEntry(JobSpec spec, long acceptedWallMillis, long number) {
        mSpec = spec;
        mAcceptedWallMillis = acceptedWallMillis;
        mSequence = number;
        mTasks = new TaskEntry[spec.taskCount()];
        for (int i = 0; i < mTasks.length; i++) {
            mTasks[i] = new TaskEntry(new TaskId(spec.id(), i));
            mWaitingTasks.add(i);
        }
        mPendingCount = mTasks.length;
    }

    /** Returns whether its tasks are being stopped for good, or have been. */
    boolean isEnding() {
        return mCancelled || !mFailure.isEmpty() || mState.isFinal();
    }

    /** Changes the state of a task and the counts that follow from it. */
    void setState(TaskEntry task, TaskState state) {
        Integer index = task.mId.index();
        mPendingCount -= task.isPending() ? 1 : 0;
        task.mState = state;
        mPendingCount += task.isPending() ? 1 : 0;
        setMember(mLiveTasks, index, task.isLive());
        setMember(mWaitingTasks, index, state == TaskState.WAITING);
    }

    /**
     * Returns the state as operators see it. Tasks that wait are not touched one by one when their
     * job is cancelled, so that a cancellation costs no more than the tasks that run.
     */
    TaskState visibleState(TaskEntry task) {
        return task.isPending() && isEnding() ? TaskState.CANCELLED : task.mState;
    }

    /** Returns whether nothing of it runs and nothing will. */
    boolean isOver() {
        return mLiveTasks.isEmpty() && (mPendingCount == 0 || isEnding());
    }

    private static void setMember(Set<Integer> set, Integer index, boolean member) {
        if (member) {
            set.add(index);
        } else {
            set.remove(index);
        }
    }
}
