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
    final long mNumber;
    final TaskEntry[] mTasks;
    final TreeSet<Integer> mWaiting = new TreeSet<>();
    // Indexes of the tasks whose last attempt may run somewhere.
    final TreeSet<Integer> mLive = new TreeSet<>();
    final TaskSpread mSpread = new TaskSpread();
    JobState mState = JobState.PENDING;
    String mReason = "";
    int mPending;
    int mSucceeded;
    // Set when the last try found no worker, as opposed to no quota.
    boolean mWaitsForRoom;
    long mBlockedSinceMillis;
    long mNextPreemptionMillis = Long.MIN_VALUE;
    // Position among the jobs of its class; see JobQueue.
    long mTurn;
    boolean mCancelled;
    // Reason of the failure that ends the job once its other tasks have stopped.
    String mFailure = "";
    long mFirstStartWallMillis;
    long mEndedWallMillis;

    JobEntry(JobSpec spec, long acceptedWallMillis, long number) {
        mSpec = spec;
        mAcceptedWallMillis = acceptedWallMillis;
        mNumber = number;
        mTasks = new TaskEntry[spec.taskCount()];
        for (int i = 0; i < mTasks.length; i++) {
            mTasks[i] = new TaskEntry(new TaskId(spec.id(), i));
            mWaiting.add(i);
        }
        mPending = mTasks.length;
    }

    /** Returns whether its tasks are being stopped for good, or have been. */
    boolean isEnding() {
        return mCancelled || !mFailure.isEmpty() || mState.isFinal();
    }

    /** Changes the state of a task and the counts that follow from it. */
    void setState(TaskEntry task, TaskState state) {
        Integer index = task.mId.index();
        mPending -= task.isPending() ? 1 : 0;
        task.mState = state;
        mPending += task.isPending() ? 1 : 0;
        setMember(mLive, index, task.isLive());
        setMember(mWaiting, index, state == TaskState.WAITING);
    }

    /**
     * Returns the state as operators see it. Tasks that wait are not touched one by one when their
     * job is cancelled, so that a cancellation costs no more than the tasks that run.
     */
    TaskState shownState(TaskEntry task) {
        return task.isPending() && isEnding() ? TaskState.CANCELLED : task.mState;
    }

    /** Returns whether nothing of it runs and nothing will. */
    boolean isOver() {
        return mLive.isEmpty() && (mPending == 0 || isEnding());
    }

    private static void setMember(Set<Integer> set, Integer index, boolean member) {
        if (member) {
            set.add(index);
        } else {
            set.remove(index);
        }
    }
}
