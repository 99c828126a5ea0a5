package org.hyssoprouter.internal.placement;

import java.util.Set;
import java.util.TreeSet;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;

/** Mutable state of one job, changed only through {@link JobScheduler}. */
final class JobEntry {
    final JobSpec mSpec;
    final long mAcceptedWallMillis;
    // Sequence number of the acceptance within the shard.
    final long mSequence;
    final TaskEntry[] mTasks;
    final TreeSet<Integer> mWaitingTasks = new TreeSet<>();
    // Indexes of the tasks whose last attempt may be running on a worker.
    final TreeSet<Integer> mLiveTasks = new TreeSet<>();
    final TaskSpread mSpread = new TaskSpread();
    JobState mState = JobState.PENDING;
    String mReason = "";
    int mPendingCount;
    int mSucceededCount;
    // Whether the last placement lacked free room on workers, as opposed to quota.
    boolean mWaitsForRoom;
    long mBlockedSinceMillis;
    long mNextPreemptionMillis = Long.MIN_VALUE;
    // Round of the round-robin between customers in which the job is served; see JobQueue.
    long mFairShareRound;
    boolean mCancelled;
    // Reason of the task failure that fails the job once its other tasks have stopped.
    String mFailure = "";
    long mFirstStartWallMillis;
    long mEndedWallMillis;

    JobEntry(JobSpec spec, long acceptedWallMillis, long sequence) {
        mSpec = spec;
        mAcceptedWallMillis = acceptedWallMillis;
        mSequence = sequence;
        mTasks = new TaskEntry[spec.taskCount()];
        for (int i = 0; i < mTasks.length; i++) {
            mTasks[i] = new TaskEntry(new TaskId(spec.id(), i));
            mWaitingTasks.add(i);
        }
        mPendingCount = mTasks.length;
    }

    /** Returns whether the job is cancelled, has failed or has ended, so that no task starts. */
    boolean isEnding() {
        return mCancelled || !mFailure.isEmpty() || mState.isFinal();
    }

    /** Changes the state of a task and updates the indexes and counts that depend on it. */
    void setState(TaskEntry task, TaskState state) {
        Integer index = task.mId.index();
        mPendingCount -= task.isPending() ? 1 : 0;
        task.mState = state;
        mPendingCount += task.isPending() ? 1 : 0;
        setMember(mLiveTasks, index, task.isLive());
        setMember(mWaitingTasks, index, state == TaskState.WAITING);
    }

    /**
     * Returns the state of a task as shown to operators. A cancellation does not update the pending
     * tasks one by one, so that its cost depends only on the number of live tasks.
     */
    TaskState visibleState(TaskEntry task) {
        return task.isPending() && isEnding() ? TaskState.CANCELLED : task.mState;
    }

    /** Returns whether no task is live and none will be started. */
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
