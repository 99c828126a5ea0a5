package org.hyssoprouter.internal.placement;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.JobAccepted;
import org.hyssoprouter.internal.journal.ShardEvent.JobCancelled;
import org.hyssoprouter.internal.journal.ShardEvent.JobEnded;
import org.hyssoprouter.internal.journal.ShardEvent.TaskEnded;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerClient.StopMode;
import org.hyssoprouter.transport.WorkerStatus;

/**
 * Schedules the jobs and tasks of one shard. Each change produces events for the journal and
 * actions for the driver, which {@link #takeOutput} returns in the order of the decisions. Not
 * thread-safe; all times are passed in.
 *
 * @since 0.1
 */
public final class JobScheduler {
    private final Fleet mFleet = new Fleet();
    private final JobStore mStore = new JobStore(mFleet);
    private final PendingStops mStops = new PendingStops();
    private final WorkerHealth mHealth = new WorkerHealth();
    private final JobPlacer mPlacer =
            new JobPlacer(mFleet, mStore.liveTasks(), mStore.sizeEstimator());
    private final GangReservation mReservation = new GangReservation(mFleet, mStore);
    private final PreemptionPlanner mPreemptionPlanner =
            new PreemptionPlanner(mFleet, mStore.liveTasks());
    private final PlacementPass mPass =
            new PlacementPass(
                    mFleet, mPlacer, mReservation, this::recordPlacements, this::onBlocked);
    private final InventoryReconciler mReconciler =
            new InventoryReconciler(this, mStore, mFleet, mStops);
    private final String mShard;
    private List<ShardEvent> mEvents = new ArrayList<>();
    private List<PlacementAction> mActions = new ArrayList<>();
    private long mNowMillis;
    private long mWallMillis;

    /**
     * Creates a scheduler without jobs and workers.
     *
     * @param shard name of the shard, which appears in views
     */
    public JobScheduler(String shard) {
        mShard = shard;
    }

    /** Returns the workers, which the driver keeps up to date. */
    public Fleet fleet() {
        return mFleet;
    }

    /**
     * Applies an event that was read from the journal or has been appended to it.
     *
     * @param nowMillis monotonic time from which back-offs count
     */
    public void apply(ShardEvent event, long nowMillis) {
        mStore.apply(event, nowMillis);
    }

    /**
     * Completes recovery after the journal was applied: ends jobs whose end was not journaled, and
     * schedules the stops of tasks of ending jobs again.
     */
    public void resume(long wallMillis) {
        for (JobEntry job : List.copyOf(mStore.jobs())) {
            stopTasksIfEnding(job);
            endJobIfOver(job, wallMillis);
        }
    }

    /** Adds a job whose acceptance is durable. */
    public void accept(JobAccepted event, long nowMillis) {
        mStore.apply(event, nowMillis);
    }

    /** Cancels a job whose cancellation is durable, and schedules the stops of its tasks. */
    public void cancel(JobCancelled event, long nowMillis, long wallMillis) {
        mStore.apply(event, nowMillis);
        JobEntry job = mStore.job(event.job());
        if (job != null) {
            stopTasksIfEnding(job);
            endJobIfOver(job, wallMillis);
        }
    }

    /**
     * Places waiting tasks.
     *
     * @param limit maximum number of tasks to place; a gang may exceed it
     * @param quotas quotas under the configuration in force
     * @return whether the limit was reached, so that more tasks may be placeable
     */
    public boolean place(long nowMillis, long wallMillis, int limit, QuotaLookup quotas) {
        mNowMillis = nowMillis;
        mWallMillis = wallMillis;
        for (JobQueue.DelayedTask ready : mStore.queue().takeDue(nowMillis)) {
            if (ready.task().mState == TaskState.BACKING_OFF) {
                ready.job().setState(ready.task(), TaskState.WAITING);
                mStore.queue().update(ready.job());
            }
        }
        return mPass.run(mStore.queue(), nowMillis, limit, quotas) >= limit;
    }

    private void recordPlacements(JobEntry job, List<Assignment> placed) {
        for (Assignment assignment : placed) {
            AttemptId attempt = assignment.attempt();
            record(
                    new ShardEvent.TaskPlaced(
                            attempt.task(),
                            attempt.attempt(),
                            assignment.worker(),
                            assignment.room()),
                    mNowMillis);
            job.mTasks[attempt.task().index()].mNotAfterMillis = TaskEntry.NOT_SENT;
            mActions.add(startOf(job.mSpec, assignment));
        }
        if (job.mFirstStartWallMillis == 0) {
            job.mFirstStartWallMillis = mWallMillis;
        }
        job.mBlockedSinceMillis = 0;
    }

    private void onBlocked(JobEntry job, long nowMillis) {
        if (!job.mWaitsForRoom) {
            return;
        }
        Room room = mPlacer.roomPerTask(job);
        mReservation.reserveIfBlocked(job, room, nowMillis);
        for (TaskEntry task : mPreemptionPlanner.selectVictims(job, room, nowMillis)) {
            stopForMove(task, "preempted by urgent job " + job.mSpec.id());
        }
    }

    private static PlacementAction startOf(JobSpec spec, Assignment assignment) {
        return new PlacementAction.Start(
                assignment.attempt(),
                assignment.worker(),
                assignment.room(),
                spec.runTimeMillis(),
                spec.command());
    }

    /**
     * Prepares the sending of a start.
     *
     * @param notAfterMillis instant on the clock of the worker after which it rejects the start
     * @param nowMillis monotonic time
     * @return false if the attempt must not be started, because it is outdated or its task is
     *     stopping; a stopping attempt is ended
     */
    public boolean prepareStart(
            AttemptId attempt, long notAfterMillis, long nowMillis, long wallMillis) {
        TaskEntry task = mStore.task(attempt.task());
        if (task == null || task.mAttempt != attempt.attempt()) {
            return false;
        }
        if (task.mState != TaskState.STARTING) {
            endAttempt(attempt, TaskReport.State.STOPPED, "was not started", nowMillis, wallMillis);
            return false;
        }
        task.mNotAfterMillis = notAfterMillis;
        return true;
    }

    /** Marks an attempt as running after its worker confirmed the start. */
    public void markRunning(AttemptId attempt) {
        TaskEntry task = mStore.task(attempt.task());
        JobEntry job = mStore.job(attempt.task().job());
        if (task == null || job == null || task.mAttempt != attempt.attempt()) {
            return;
        }
        if (task.mState == TaskState.STARTING) {
            job.setState(task, TaskState.RUNNING);
        }
    }

    /** Records the end of an attempt that certainly no longer runs, without usage. */
    public void endAttempt(
            AttemptId attempt,
            TaskReport.State state,
            String message,
            long nowMillis,
            long wallMillis) {
        endAttempt(attempt, state, Room.NONE, message, nowMillis, wallMillis);
    }

    /** Records the end of an attempt that certainly no longer runs, with its peak usage. */
    public void endAttempt(
            AttemptId attempt,
            TaskReport.State state,
            Room usage,
            String message,
            long nowMillis,
            long wallMillis) {
        mStops.remove(attempt);
        JobEntry job = mStore.job(attempt.task().job());
        TaskEntry task = mStore.task(attempt.task());
        if (job == null || task == null || task.mEndedAttempt >= attempt.attempt()) {
            return;
        }
        record(new TaskEnded(attempt.task(), attempt.attempt(), state, usage, message), nowMillis);
        if (state == TaskReport.State.FAILED || state == TaskReport.State.SUCCEEDED) {
            boolean failed = state == TaskReport.State.FAILED;
            mHealth.recordOutcome(
                    task.mWorker, job.mSpec.id(), failed, job.mSucceededCount > 0, nowMillis);
        }
        stopTasksIfEnding(job);
        endJobIfOver(job, wallMillis);
    }

    /**
     * Sets whether a worker may receive work by its lease and the host list. An unhealthy worker
     * stays excluded, and one on probation gets a single attempt at a time.
     */
    public void setUsable(String worker, boolean usable, long nowMillis) {
        mFleet.setSingleAttempt(worker, mHealth.isOnProbation(worker));
        mFleet.setUsable(worker, usable && !mHealth.isExcluded(worker, nowMillis));
    }

    /**
     * Reconciles the inventory of a worker with the expected attempts: confirms, ends, takes over
     * or stops them.
     */
    public void reconcile(WorkerStatus status, long nowMillis, long wallMillis) {
        mReconciler.reconcile(status, nowMillis, wallMillis);
    }

    /** Ends all attempts of a worker whose lease has certainly expired. */
    public void onLeaseExpired(String worker, long nowMillis, long wallMillis) {
        mReconciler.onLeaseExpired(worker, nowMillis, wallMillis);
    }

    /**
     * Stops all attempts on a worker with a checkpoint, so that they are placed on other workers.
     */
    public void evacuate(String worker) {
        for (AttemptId attempt : mFleet.attemptsOn(worker)) {
            TaskEntry task = mStore.task(attempt.task());
            if (task != null && task.attemptId().equals(attempt)) {
                stopForMove(task, "moved off worker " + worker);
            }
        }
    }

    /** Stops a live task with a checkpoint; it is queued again once it has stopped. */
    private void stopForMove(TaskEntry task, String reason) {
        JobEntry job = mStore.job(task.mId.job());
        boolean movable = task.mState == TaskState.STARTING || task.mState == TaskState.RUNNING;
        if (job == null || !movable) {
            return;
        }
        job.setState(task, TaskState.STOPPING);
        task.mReason = reason;
        mStops.add(task.attemptId(), task.mWorker, StopMode.CHECKPOINT);
    }

    /** Adds the stops that are due to the actions. */
    public void enqueueDueStops(long nowMillis) {
        mActions.addAll(mStops.takeDue(nowMillis));
    }

    /** Returns the events and actions since the last call and clears them. */
    public JobSchedulerOutput takeOutput() {
        JobSchedulerOutput output = new JobSchedulerOutput(mEvents, mActions);
        mEvents = new ArrayList<>();
        mActions = new ArrayList<>();
        return output;
    }

    /** Returns the spec of a job, or none for an unknown id. */
    public Option<JobSpec> spec(String job) {
        return Option.of(mStore.job(job)).map(entry -> entry.mSpec);
    }

    /** Returns whether a job is cancelled, has failed or has ended. */
    public boolean isEnding(String job) {
        JobEntry entry = mStore.job(job);
        return entry != null && entry.isEnding();
    }

    /**
     * Returns a job with its tasks, or none for an unknown id.
     *
     * @param note reason to show while tasks wait instead of the one of the job, or empty
     */
    public Option<JobView> view(String job, long wallMillis, String note) {
        return Option.of(mStore.job(job))
                .map(entry -> JobViewFactory.full(entry, mShard, wallMillis, note));
    }

    /** Returns the newest jobs without their tasks, oldest first. */
    public List<JobView> list(int limit, long wallMillis) {
        List<JobView> views = new ArrayList<>();
        int toSkip = Math.max(0, mStore.jobs().size() - limit);
        for (JobEntry job : mStore.jobs()) {
            if (toSkip-- <= 0) {
                views.add(JobViewFactory.brief(job, mShard, wallMillis));
            }
        }
        return views;
    }

    /** Returns whether an operator has drained a worker. */
    public boolean isDrained(String worker) {
        return mStore.drainedWorkers().contains(worker);
    }

    /** Returns the load of each worker. */
    public List<WorkerLoad> workerLoads() {
        return mFleet.workers().stream().map(this::loadOf).toList();
    }

    private WorkerLoad loadOf(String worker) {
        RoomTracker tracker = mFleet.roomTracker();
        return new WorkerLoad(
                worker,
                isDrained(worker),
                mFleet.isUsable(worker),
                tracker.capacity(worker).minus(tracker.free(worker)),
                mFleet.attemptsOn(worker).size());
    }

    /** Returns the workers on which an attempt may be running. */
    public List<String> workersInUse() {
        return mStore.jobs().stream()
                .flatMap(job -> job.mLiveTasks.stream().map(index -> job.mTasks[index].mWorker))
                .distinct()
                .toList();
    }

    /** Returns a compact list of events that restores the durable state. */
    public List<ShardEvent> snapshotEvents() {
        return mStore.snapshot();
    }

    /** Applies an event and adds it to the output for the journal. */
    void record(ShardEvent event, long nowMillis) {
        mEvents.add(event);
        mStore.apply(event, nowMillis);
    }

    private void stopTasksIfEnding(JobEntry job) {
        if (!job.isEnding()) {
            return;
        }
        for (int index : job.mLiveTasks) {
            TaskEntry task = job.mTasks[index];
            mStops.add(task.attemptId(), task.mWorker, StopMode.KILL);
        }
    }

    private void endJobIfOver(JobEntry job, long wallMillis) {
        if (job.mState.isFinal() || !job.isOver()) {
            return;
        }
        JobState state = JobState.SUCCEEDED;
        String reason = "all tasks ended with success";
        if (job.mCancelled) {
            state = JobState.CANCELLED;
            reason = job.mReason;
        } else if (!job.mFailure.isEmpty()) {
            state = JobState.FAILED;
            reason = job.mFailure;
        }
        record(new JobEnded(job.mSpec.id(), state, reason, wallMillis), 0);
    }
}
