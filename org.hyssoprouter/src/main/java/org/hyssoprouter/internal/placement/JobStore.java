package org.hyssoprouter.internal.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.JobAccepted;
import org.hyssoprouter.internal.journal.ShardEvent.JobCancelled;
import org.hyssoprouter.internal.journal.ShardEvent.JobEnded;
import org.hyssoprouter.internal.journal.ShardEvent.TaskEnded;
import org.hyssoprouter.internal.journal.ShardEvent.TaskPlaced;
import org.hyssoprouter.internal.journal.ShardEvent.WorkerDrained;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.jspecify.annotations.Nullable;

/**
 * Durable state of the jobs of a shard, changed only by applying events. Applying an event twice
 * has no effect, because a snapshot may overlap the journal.
 */
final class JobStore {
    // Number of ended jobs that stay visible; the oldest is removed first.
    private static final int MAX_ENDED_JOBS = 2_000;

    private final Map<String, JobEntry> mJobs = new LinkedHashMap<>();
    private final Deque<JobEntry> mEndedJobs = new ArrayDeque<>();
    private final TreeSet<String> mDrainedWorkers = new TreeSet<>();
    private final JobQueue mQueue = new JobQueue();
    private final LiveTasks mLiveTasks = new LiveTasks();
    private final TaskSizeEstimator mSizeEstimator = new TaskSizeEstimator();
    private final Fleet mFleet;
    private long mNextSequence;

    JobStore(Fleet fleet) {
        mFleet = fleet;
    }

    Collection<JobEntry> jobs() {
        return mJobs.values();
    }

    JobQueue queue() {
        return mQueue;
    }

    LiveTasks liveTasks() {
        return mLiveTasks;
    }

    TaskSizeEstimator sizeEstimator() {
        return mSizeEstimator;
    }

    Set<String> drainedWorkers() {
        return mDrainedWorkers;
    }

    @Nullable JobEntry job(String id) {
        return mJobs.get(id);
    }

    @Nullable TaskEntry task(TaskId id) {
        JobEntry job = mJobs.get(id.job());
        if (job == null || id.index() < 0 || id.index() >= job.mTasks.length) {
            return null;
        }
        return job.mTasks[id.index()];
    }

    /** Applies an event; events that do not concern jobs or workers are ignored. */
    void apply(ShardEvent event, long nowMillis) {
        if (event instanceof JobAccepted accepted) {
            accept(accepted);
        } else if (event instanceof JobCancelled cancelled) {
            cancel(cancelled);
        } else if (event instanceof JobEnded ended) {
            endJob(ended);
        } else if (event instanceof TaskPlaced placed) {
            placeTask(placed, nowMillis);
        } else if (event instanceof TaskEnded ended) {
            endTask(ended, nowMillis);
        } else if (event instanceof WorkerDrained drained) {
            drain(drained);
        }
    }

    private void accept(JobAccepted event) {
        String id = event.spec().id();
        if (mJobs.containsKey(id)) {
            return;
        }
        JobEntry job = new JobEntry(event.spec(), event.wallMillis(), mNextSequence++);
        mJobs.put(id, job);
        mQueue.add(job);
    }

    private void cancel(JobCancelled event) {
        JobEntry job = mJobs.get(event.job());
        if (job == null || job.isEnding()) {
            return;
        }
        job.mCancelled = true;
        job.mReason = "cancelled by an operator";
        markLiveTasksStopping(job);
    }

    /** Marks the live tasks of an ending job as stopping. */
    private void markLiveTasksStopping(JobEntry job) {
        for (int index : List.copyOf(job.mLiveTasks)) {
            job.setState(job.mTasks[index], TaskState.STOPPING);
        }
        mQueue.update(job);
    }

    private void endJob(JobEnded event) {
        JobEntry job = mJobs.get(event.job());
        if (job == null || job.mState.isFinal()) {
            return;
        }
        job.mState = event.state();
        job.mReason = event.reason();
        job.mEndedWallMillis = event.wallMillis();
        mQueue.update(job);
        mEndedJobs.add(job);
        if (mEndedJobs.size() > MAX_ENDED_JOBS) {
            mJobs.remove(mEndedJobs.remove().mSpec.id());
        }
    }

    /** Records a placement and holds its room. */
    private void placeTask(TaskPlaced event, long nowMillis) {
        JobEntry job = mJobs.get(event.task().job());
        TaskEntry task = task(event.task());
        if (job == null || task == null || event.attempt() <= task.mAttempt) {
            return;
        }
        if (task.isLive()) {
            releaseRoom(job, task);
        }
        task.mAttempt = event.attempt();
        task.mWorker = event.worker();
        task.mHeldRoom = event.room();
        task.mReason = "";
        task.mNotAfterMillis = 0;
        task.mPlacedMillis = nowMillis;
        mFleet.forceHold(task.mWorker, task.attemptId(), task.mHeldRoom);
        task.mRack = mFleet.rackOf(task.mWorker);
        job.mSpread.add(task.mWorker, task.mRack);
        mLiveTasks.add(job, task);
        job.setState(task, job.isEnding() ? TaskState.STOPPING : TaskState.STARTING);
        mQueue.update(job);
    }

    /** Records the end of an attempt, which may queue the task again or fail its job. */
    private void endTask(TaskEnded event, long nowMillis) {
        JobEntry job = mJobs.get(event.task().job());
        TaskEntry task = task(event.task());
        if (job == null || task == null || event.attempt() <= task.mEndedAttempt) {
            return;
        }
        if (event.attempt() < task.mAttempt) {
            return;
        }
        if (task.isLive()) {
            releaseRoom(job, task);
        }
        task.mAttempt = event.attempt();
        task.mEndedAttempt = event.attempt();
        task.mReason = event.message();
        task.mLastFailedWorker = event.state() == TaskReport.State.FAILED ? task.mWorker : "";
        job.mSucceededCount += event.state() == TaskReport.State.SUCCEEDED ? 1 : 0;
        mSizeEstimator.recordUsage(job.mSpec, event.usage());
        task.mLastEndState = job.isEnding() ? TaskReport.State.STOPPED : event.state();
        job.setState(task, stateAfter(job, task, event.state(), nowMillis));
        if (task.mState == TaskState.BACKING_OFF) {
            mQueue.addDelayed(job, task);
        }
        if (task.mState == TaskState.FAILED && job.mFailure.isEmpty()) {
            job.mFailure = failureText(task);
            markLiveTasksStopping(job);
        }
        mQueue.update(job);
    }

    private static TaskState stateAfter(
            JobEntry job, TaskEntry task, TaskReport.State state, long nowMillis) {
        boolean succeeded = state == TaskReport.State.SUCCEEDED;
        if (succeeded && job.mSpec.kind() != WorkKind.SERVICE) {
            task.mLastEndState = state;
            return TaskState.SUCCEEDED;
        }
        if (job.isEnding()) {
            return TaskState.CANCELLED;
        }
        if (state == TaskReport.State.FAILED) {
            task.mFailureCount++;
            if (task.mFailureCount >= job.mSpec.maxAttempts()) {
                return TaskState.FAILED;
            }
        }
        if (state == TaskReport.State.FAILED || succeeded) {
            task.mReadyMillis = nowMillis + BackOff.delayMillis(task.mFailureCount);
            return TaskState.BACKING_OFF;
        }
        return TaskState.WAITING;
    }

    private static String failureText(TaskEntry task) {
        return "task "
                + task.mId.index()
                + " failed "
                + task.mFailureCount
                + " times, last: "
                + task.mReason;
    }

    private void releaseRoom(JobEntry job, TaskEntry task) {
        AttemptId attempt = task.attemptId();
        mFleet.release(task.mWorker, attempt);
        job.mSpread.remove(task.mWorker, task.mRack);
        mLiveTasks.remove(job, task);
        task.mHeldRoom = Room.NONE;
    }

    /** Raises the held room of a live task to its reported usage. */
    void raiseHeldRoom(JobEntry job, TaskEntry task, Room usage) {
        if (usage.fitsIn(task.mHeldRoom)) {
            return;
        }
        mLiveTasks.remove(job, task);
        task.mHeldRoom = task.mHeldRoom.max(usage);
        mFleet.forceHold(task.mWorker, task.attemptId(), task.mHeldRoom);
        mLiveTasks.add(job, task);
    }

    private void drain(WorkerDrained event) {
        if (event.drained()) {
            mDrainedWorkers.add(event.worker());
        } else {
            mDrainedWorkers.remove(event.worker());
        }
    }

    /** Returns a compact list of events that restores this state. */
    List<ShardEvent> snapshot() {
        List<ShardEvent> events = new ArrayList<>();
        mDrainedWorkers.forEach(worker -> events.add(new WorkerDrained(worker, true)));
        for (JobEntry job : mJobs.values()) {
            events.add(new JobAccepted(job.mSpec, job.mAcceptedWallMillis));
            for (TaskEntry task : job.mTasks) {
                TaskSnapshot.append(task, events);
            }
            if (job.mCancelled) {
                events.add(new JobCancelled(job.mSpec.id()));
            }
        }
        for (JobEntry job : mEndedJobs) {
            events.add(new JobEnded(job.mSpec.id(), job.mState, job.mReason, job.mEndedWallMillis));
        }
        return events;
    }
}
