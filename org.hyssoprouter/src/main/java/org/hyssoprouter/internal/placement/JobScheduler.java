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
 * Jobs and tasks of one shard, and the decisions on them. Each change yields events for the journal
 * and actions for the driver, which {@link #takeOutput} hands out in the order of the decisions.
 * Not thread-safe; all times are passed in.
 *
 * @since 0.1
 */
public final class JobScheduler {
    private final Fleet mFleet = new Fleet();
    private final JobStore mStore = new JobStore(mFleet);
    private final PendingStops mStops = new PendingStops();
    private final WorkerHealth mHealth = new WorkerHealth();
    private final JobPlacer mPlacer = new JobPlacer(mFleet, mStore.live(), mStore.sizes());
    private final GangReservation mReservation = new GangReservation(mFleet, mStore);
    private final PreemptionPlanner mPreemption = new PreemptionPlanner(mFleet, mStore.live());
    private final PlacementPass mPass =
            new PlacementPass(mFleet, mPlacer, mReservation, this::commit, this::blocked);
    private final InventoryReconciler mInventory =
            new InventoryReconciler(this, mStore, mFleet, mStops);
    private final String mShard;
    private List<ShardEvent> mEvents = new ArrayList<>();
    private List<PlacementAction> mActions = new ArrayList<>();
    private long mNowMillis;
    private long mWallMillis;

    /**
     * Creates an empty book.
     *
     * @param shard name of the shard, for views
     */
    public JobScheduler(String shard) {
        mShard = shard;
    }

    /** Returns the workers, for the driver to keep up to date. */
    public Fleet fleet() {
        return mFleet;
    }

    /**
     * Applies an event of the journal, or one that has become durable since.
     *
     * @param nowMillis monotonic time from which back-offs count
     */
    public void apply(ShardEvent event, long nowMillis) {
        mStore.apply(event, nowMillis);
    }

    /**
     * Resumes after the history was applied: ends jobs whose last event is missing, and stops what
     * was being stopped.
     */
    public void resume(long wallMillis) {
        for (JobEntry job : List.copyOf(mStore.jobs())) {
            stopTasks(job);
            endIfOver(job, wallMillis);
        }
    }

    /** Takes over a job whose acceptance is durable. */
    public void accept(JobAccepted event, long nowMillis) {
        mStore.apply(event, nowMillis);
    }

    /** Cancels a job once its cancellation is durable. */
    public void cancel(JobCancelled event, long nowMillis, long wallMillis) {
        mStore.apply(event, nowMillis);
        JobEntry job = mStore.job(event.job());
        if (job != null) {
            stopTasks(job);
            endIfOver(job, wallMillis);
        }
    }

    /**
     * Places waiting tasks.
     *
     * @param limit most tasks to place
     * @param quotas quotas under the configuration in force
     * @return whether the limit was reached, so that there may be more to place
     */
    public boolean place(long nowMillis, long wallMillis, int limit, QuotaLookup quotas) {
        mNowMillis = nowMillis;
        mWallMillis = wallMillis;
        for (JobQueue.BackedOff ready : mStore.queue().takeReady(nowMillis)) {
            if (ready.task().mState == TaskState.BACKING_OFF) {
                ready.job().setState(ready.task(), TaskState.WAITING);
                mStore.queue().update(ready.job());
            }
        }
        return mPass.run(mStore.queue(), nowMillis, limit, quotas) >= limit;
    }

    private void commit(JobEntry job, List<Assignment> placed) {
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

    private void blocked(JobEntry job, long nowMillis) {
        if (!job.mWaitsForRoom) {
            return;
        }
        Room room = mPlacer.sizeOf(job);
        mReservation.blocked(job, room, nowMillis);
        for (TaskEntry victim : mPreemption.victims(job, room, nowMillis)) {
            move(victim, "gives way to urgent job " + job.mSpec.id());
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
     * Notes that a start is about to be sent.
     *
     * @param notAfterMillis instant on the worker's clock after which it refuses the start
     * @return false if the attempt is not to be started any more; it has then been ended
     */
    public boolean prepareStart(AttemptId attempt, long notAfterMillis, long now, long wallMillis) {
        TaskEntry task = mStore.task(attempt.task());
        if (task == null || task.mAttempt != attempt.attempt()) {
            return false;
        }
        if (task.mState != TaskState.STARTING) {
            endAttempt(attempt, TaskReport.State.STOPPED, "was not started", now, wallMillis);
            return false;
        }
        task.mNotAfterMillis = notAfterMillis;
        return true;
    }

    /** Notes that a worker confirmed a start. */
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

    /** Notes that an attempt is over and runs nowhere. */
    public void endAttempt(
            AttemptId attempt,
            TaskReport.State state,
            String message,
            long nowMillis,
            long wallMillis) {
        endAttempt(attempt, state, Room.NONE, message, nowMillis, wallMillis);
    }

    /** Notes that an attempt is over, with the room that it used. */
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
                    task.mWorker, job.mSpec.id(), failed, job.mSucceeded > 0, nowMillis);
        }
        stopTasks(job);
        endIfOver(job, wallMillis);
    }

    /**
     * Says whether the lease and the host list let a worker receive work; its health is judged here
     * as well.
     */
    public void setUsable(String worker, boolean usable, long nowMillis) {
        mFleet.setSingleAttempt(worker, mHealth.isOnProbation(worker));
        mFleet.setUsable(worker, usable && !mHealth.isExcluded(worker, nowMillis));
    }

    /**
     * Compares a worker's inventory with this book: confirms, ends, takes over or stops attempts.
     */
    public void reconcile(WorkerStatus status, long nowMillis, long wallMillis) {
        mInventory.reconcile(status, nowMillis, wallMillis);
    }

    /** Ends all attempts of a worker whose lease has lapsed for certain. */
    public void onLeaseExpired(String worker, long nowMillis, long wallMillis) {
        mInventory.lapse(worker, nowMillis, wallMillis);
    }

    /** Stops all attempts of a worker with a checkpoint, so that they move elsewhere. */
    public void evacuate(String worker) {
        for (AttemptId attempt : mFleet.attemptsOn(worker)) {
            TaskEntry task = mStore.task(attempt.task());
            if (task != null && task.attemptId().equals(attempt)) {
                move(task, "moves away from " + worker);
            }
        }
    }

    /** Stops a live task with a checkpoint; it waits for another worker once it has stopped. */
    private void move(TaskEntry task, String reason) {
        JobEntry job = mStore.job(task.mId.job());
        boolean movable = task.mState == TaskState.STARTING || task.mState == TaskState.RUNNING;
        if (job == null || !movable) {
            return;
        }
        job.setState(task, TaskState.STOPPING);
        task.mReason = reason;
        mStops.add(task.attemptId(), task.mWorker, StopMode.CHECKPOINT);
    }

    /** Adds the stops that are due to the changes. */
    public void enqueueDueStops(long nowMillis) {
        mActions.addAll(mStops.takeDue(nowMillis));
    }

    /** Returns and forgets the changes since the last call. */
    public JobSchedulerOutput takeOutput() {
        JobSchedulerOutput changes = new JobSchedulerOutput(mEvents, mActions);
        mEvents = new ArrayList<>();
        mActions = new ArrayList<>();
        return changes;
    }

    /** Returns what was submitted under an id, or none. */
    public Option<JobSpec> spec(String job) {
        return Option.of(mStore.job(job)).map(entry -> entry.mSpec);
    }

    /** Returns whether a job is cancelled or has ended. */
    public boolean isEnding(String job) {
        JobEntry entry = mStore.job(job);
        return entry != null && entry.isEnding();
    }

    /** Returns a job with its tasks, or none. */
    public Option<JobView> view(String job, long wallMillis, String note) {
        return Option.of(mStore.job(job))
                .map(entry -> JobViewFactory.full(entry, mShard, wallMillis, note));
    }

    /** Returns the newest jobs, without their tasks. */
    public List<JobView> list(int limit, long wallMillis) {
        List<JobView> views = new ArrayList<>();
        int skip = Math.max(0, mStore.jobs().size() - limit);
        for (JobEntry job : mStore.jobs()) {
            if (skip-- <= 0) {
                views.add(JobViewFactory.brief(job, mShard, wallMillis));
            }
        }
        return views;
    }

    /** Returns whether an operator has taken a worker out of use. */
    public boolean isDrained(String worker) {
        return mStore.drained().contains(worker);
    }

    /** Returns what each worker holds. */
    public List<WorkerLoad> workerLoads() {
        return mFleet.workers().stream().map(this::loadOf).toList();
    }

    private WorkerLoad loadOf(String worker) {
        RoomTracker ledger = mFleet.roomTracker();
        return new WorkerLoad(
                worker,
                isDrained(worker),
                mFleet.isUsable(worker),
                ledger.capacity(worker).minus(ledger.free(worker)),
                mFleet.attemptsOn(worker).size());
    }

    /** Returns the workers on which some attempt may run. */
    public List<String> workersInUse() {
        return mStore.jobs().stream()
                .flatMap(job -> job.mLive.stream().map(index -> job.mTasks[index].mWorker))
                .distinct()
                .toList();
    }

    /** Returns a short list of events that restores the durable state. */
    public List<ShardEvent> snapshotEvents() {
        return mStore.snapshot();
    }

    /** Journals an event and applies it. */
    void record(ShardEvent event, long nowMillis) {
        mEvents.add(event);
        mStore.apply(event, nowMillis);
    }

    private void stopTasks(JobEntry job) {
        if (!job.isEnding()) {
            return;
        }
        for (int index : job.mLive) {
            TaskEntry task = job.mTasks[index];
            mStops.add(task.attemptId(), task.mWorker, StopMode.KILL);
        }
    }

    private void endIfOver(JobEntry job, long wallMillis) {
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
