package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.hyssoprouter.internal.workspace.WorkspaceUsage;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.jspecify.annotations.Nullable;

/**
 * State of a worker: its entry, its allocated and reserved room, and whether it may receive new
 * runs.
 */
final class PoolWorker {
    /** Last report time of a worker that must report before it receives new runs. */
    static final long NO_REPORT = Long.MIN_VALUE;

    final String mId;
    final WorkerClock mClock;
    final WorkerSpeed mSpeed = new WorkerSpeed();
    final WorkerPace mPace = new WorkerPace();

    /** Room reserved for steps that wait for approval or for preempted tasks to stop. */
    private final Map<Step, Room> mReserved = new HashMap<>();

    private final Map<TaskKey, Allocation> mAllocations = new HashMap<>();
    private final WorkspaceUsage mUsage;

    /** Room of the runs in the last report that have no room allocated here. */
    private List<PoolState.WorkspaceRoom> mUnallocated = List.of();

    /** Tasks with room allocated here that may have crashed another worker. */
    private final Set<Task> mSuspects = new HashSet<>();

    private WorkerEntry mEntry;
    private long mEarliestDepartureMillis;

    /** Room that is neither allocated nor reserved. */
    private Room mFree;

    boolean mListed;

    /** Whether the last entry of this worker was read; false if it is not listed and may differ. */
    boolean mLastEntryKnown;

    /** Whether the last report listed runs that have no room allocated here. */
    private boolean mHasUnallocatedRuns;

    /** Start time of the current incarnation, in milliseconds since 1970; 0 if unknown. */
    long mIncarnationMillis;

    /** Owner's clock when it learned of a restart of this worker; that of the last one. */
    private long mRestartKnownMillis = Long.MIN_VALUE;

    /** Whether the former incarnation has certainly not left as planned. */
    boolean mFormerNotLeft;

    /** Whether runs may have reached the current incarnation, which has not reported yet. */
    boolean mAwaitsFirstReport;

    private final Set<Long> mFormerIncarnations = new HashSet<>();
    long mLastReportMillis = NO_REPORT;
    long mExcludedUntilMillis;

    /** Sequence number of the last processed end in the current incarnation. */
    long mProcessedSequence;

    int mConsecutiveFailures;

    /** Number of exclusions since the last successful run. */
    int mConsecutiveExclusions;

    PoolWorker(WorkerEntry entry, SchedulerLimits limits) {
        this(entry, limits, new WorkspaceUsage());
    }

    /**
     * Creates a worker without runs.
     *
     * @param usage ledger in which the runs and reservations on this worker count
     */
    PoolWorker(WorkerEntry entry, SchedulerLimits limits, WorkspaceUsage usage) {
        mUsage = usage;
        mId = entry.id();
        mEntry = entry;
        mClock = new WorkerClock(limits);
        mFree = entry.capacity();
    }

    /** Room that is allocated to a task. */
    private record Allocation(Task task, Room room) {}

    WorkerEntry entry() {
        return mEntry;
    }

    void update(WorkerEntry entry, long nowMillis) {
        mFree = mFree.plus(entry.capacity()).minus(mEntry.capacity());
        mEntry = entry;
        mEarliestDepartureMillis = nowMillis + entry.remainingMillis();
    }

    /** Returns the earliest time at which a draining worker may leave, in milliseconds. */
    long earliestDepartureMillis() {
        return mEarliestDepartureMillis;
    }

    /**
     * Returns whether an incarnation is known and neither the current nor a former one. Start times
     * are compared for equality only, as the worker's time of day may have been set back.
     */
    boolean isNewIncarnation(long incarnationMillis) {
        return incarnationMillis > 0
                && incarnationMillis != mIncarnationMillis
                && !mFormerIncarnations.contains(incarnationMillis);
    }

    /** Returns whether an entry describes the current incarnation. */
    boolean isIncarnationOf(WorkerEntry entry) {
        return mIncarnationMillis == entry.incarnationMillis()
                && mEntry.address().equals(entry.address());
    }

    /** Makes an incarnation the current one and records its predecessor. */
    void beginIncarnation(long incarnationMillis, long nowMillis) {
        mFormerIncarnations.add(mIncarnationMillis);
        if (mIncarnationMillis != 0) {
            mRestartKnownMillis = nowMillis;
        }
        mIncarnationMillis = incarnationMillis;
        mSpeed.reset();
        mPace.reset();
        releaseUnallocated();
    }

    /**
     * Returns when the owner learned that this worker has restarted, in milliseconds; {@link
     * Long#MIN_VALUE} if it knows of no restart.
     */
    long restartKnownMillis() {
        return mRestartKnownMillis;
    }

    /** Allocates room to a task, in place of any earlier allocation to it. */
    void allocate(Task task, Room room) {
        release(task.mKey);
        mAllocations.put(task.mKey, new Allocation(task, room));
        mFree = mFree.minus(room);
        mUsage.allocate(task.mStep.mWorkflow.mSpec.workspace(), task.mStep.mSpec.room());
        if (task.isSuspect()) {
            mSuspects.add(task);
        }
    }

    void release(TaskKey key) {
        Allocation allocation = mAllocations.remove(key);
        if (allocation != null) {
            mFree = mFree.plus(allocation.room());
            Step step = allocation.task().mStep;
            mUsage.release(step.mWorkflow.mSpec.workspace(), step.mSpec.room());
            mSuspects.remove(allocation.task());
        }
    }

    /** Reserves room for a step, in place of any earlier reservation for it. */
    void reserve(Step step, Room room) {
        releaseReservation(step);
        mReserved.put(step, room);
        mFree = mFree.minus(room);
        mUsage.reserve(step.mWorkflow.mSpec.workspace(), room);
    }

    void releaseReservation(Step step) {
        Room room = mReserved.remove(step);
        if (room != null) {
            mFree = mFree.plus(room);
            mUsage.releaseReservation(step.mWorkflow.mSpec.workspace(), room);
        }
    }

    /** Returns the task with a key if it has room allocated on this worker, or null. */
    @Nullable Task task(TaskKey key) {
        Allocation allocation = mAllocations.get(key);
        return allocation == null ? null : allocation.task();
    }

    /**
     * Records the runs that a report of the current incarnation lists. Those without room allocated
     * here, such as starts that were carried out late, count for their workspace until a report no
     * longer lists them.
     *
     * @param roomOf returns the room that a task uses
     */
    void recordListedRuns(
            List<RunReport.Running> runs,
            Function<TaskKey, Option<PoolState.WorkspaceRoom>> roomOf) {
        releaseUnallocated();
        mHasUnallocatedRuns = false;
        List<PoolState.WorkspaceRoom> unallocated = new ArrayList<>();
        for (RunReport.Running run : runs) {
            Task task = task(run.task());
            mHasUnallocatedRuns |= task == null || task.mRun != run.run();
            if (task == null) {
                roomOf.apply(run.task()).forEach(unallocated::add);
            }
        }
        unallocated.forEach(it -> mUsage.allocate(it.workspace(), it.room()));
        mUnallocated = unallocated;
    }

    /** Ends the count of runs without room allocated here, once they are proved to be over. */
    void releaseUnallocated() {
        mUnallocated.forEach(it -> mUsage.release(it.workspace(), it.room()));
        mUnallocated = List.of();
    }

    List<Task> tasks() {
        List<Task> tasks = new ArrayList<>(mAllocations.size());
        mAllocations.values().forEach(allocation -> tasks.add(allocation.task()));
        return tasks;
    }

    /** Returns whether runs without room allocated here count for their workspaces. */
    boolean hasUnallocatedRuns() {
        return !mUnallocated.isEmpty();
    }

    boolean isIdle() {
        return mAllocations.isEmpty();
    }

    /** Returns the tasks that are on trial here. */
    List<Task> tasksOnTrial() {
        return mSuspects.isEmpty()
                ? List.of()
                : mSuspects.stream().filter(Task::isOnTrial).toList();
    }

    /** Returns the number of runs of other steps that have not lasted for a trial yet. */
    int countRecentRuns(Step step) {
        int count = 0;
        for (Allocation allocation : mAllocations.values()) {
            Task task = allocation.task();
            if (!task.hasPassedTrial() && !task.mStep.equals(step)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of runs with room allocated here. */
    int runCount() {
        return mAllocations.size();
    }

    /** Returns whether more room is allocated than this worker has, as it has become smaller. */
    boolean isOvercommitted() {
        Room unallocated = mFree;
        for (Room reserved : mReserved.values()) {
            unallocated = unallocated.plus(reserved);
        }
        return unallocated.isNegative();
    }

    /** Returns the room that is neither allocated nor reserved for another step. */
    Room freeFor(Step step) {
        Room reserved = mReserved.isEmpty() ? null : mReserved.get(step);
        return reserved == null ? mFree : mFree.plus(reserved);
    }

    /**
     * Returns whether the entry describes the current incarnation, as far as it says. A restarted
     * worker may have another capacity and other labels.
     */
    private boolean isEntryCurrent() {
        long incarnationMillis = mEntry.incarnationMillis();
        return incarnationMillis == 0 || incarnationMillis == mIncarnationMillis;
    }

    /**
     * Returns whether this worker may receive new runs. A run without an allocation uses an unknown
     * amount of room until a report no longer lists it.
     *
     * @param maxReportAgeMillis maximum age of its last report, in milliseconds
     */
    boolean isSchedulable(long nowMillis, long maxReportAgeMillis) {
        return mListed
                && !mEntry.draining()
                && isEntryCurrent()
                && !mHasUnallocatedRuns
                && mClock.isKnown()
                && mLastReportMillis >= nowMillis - maxReportAgeMillis
                && mExcludedUntilMillis <= nowMillis;
    }

    /** Excludes this worker from new runs until its next report. */
    void excludeUntilReport() {
        mLastReportMillis = NO_REPORT;
    }

    /** Returns whether this worker has the label that a step requires, if any. */
    boolean matchesLabel(StepSpec spec) {
        String label = spec.limits().label();
        return label.isEmpty() || mEntry.labels().contains(label);
    }

    @Override
    public String toString() {
        return mId;
    }
}
