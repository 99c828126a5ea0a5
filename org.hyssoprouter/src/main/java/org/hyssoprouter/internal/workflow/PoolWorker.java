package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.jspecify.annotations.Nullable;

/** A worker of a pool: what it can hold, what it holds, and how far it can be trusted. */
final class PoolWorker {
    final String mId;
    final WorkerClock mClock;
    final Map<Step, Room> mReserved = new HashMap<>();
    private final Map<TaskKey, Allocation> mAllocations = new HashMap<>();
    private WorkerEntry mEntry;
    private long mEarliestDepartureMillis;
    private Room mUsed = Room.NONE;
    boolean mListed;
    long mIncarnationMillis;
    private long mPreviousIncarnationMillis;
    long mLastReportMillis = -1;
    long mExcludedUntilMillis;
    long mProcessedSequence;
    int mConsecutiveFailures;
    int mConsecutiveExclusions;

    PoolWorker(WorkerEntry entry, SchedulerLimits limits) {
        mId = entry.id();
        mEntry = entry;
        mClock = new WorkerClock(limits);
    }

    /** Room that a run occupies. */
    private record Allocation(Task task, Room room) {}

    WorkerEntry entry() {
        return mEntry;
    }

    void update(WorkerEntry entry, long nowMillis) {
        mEntry = entry;
        mEarliestDepartureMillis = nowMillis + entry.remainingMillis();
    }

    /** Returns when a worker that drains may leave at the earliest. */
    long earliestDepartureMillis() {
        return mEarliestDepartureMillis;
    }

    /**
     * Returns whether a life is one that was not heard of yet. It need not be later than the
     * present one: the worker's time of day may have been set back.
     */
    boolean isNewIncarnation(long bornMillis) {
        return bornMillis > 0
                && bornMillis != mIncarnationMillis
                && bornMillis != mPreviousIncarnationMillis;
    }

    void beginIncarnation(long bornMillis) {
        mPreviousIncarnationMillis = mIncarnationMillis;
        mIncarnationMillis = bornMillis;
    }

    void allocate(Task task, Room room) {
        release(task.mKey);
        mAllocations.put(task.mKey, new Allocation(task, room));
        mUsed = mUsed.plus(room);
    }

    void release(TaskKey key) {
        Allocation held = mAllocations.remove(key);
        if (held != null) {
            mUsed = mUsed.minus(held.room());
        }
    }

    /** Returns the task of that name that occupies room here, or null. */
    @Nullable Task task(TaskKey key) {
        Allocation held = mAllocations.get(key);
        return held == null ? null : held.task();
    }

    List<Task> tasks() {
        List<Task> tasks = new ArrayList<>();
        mAllocations.values().forEach(held -> tasks.add(held.task()));
        return tasks;
    }

    boolean isIdle() {
        return mAllocations.isEmpty();
    }

    /** Returns the room that a step may use: free and not reserved for another one. */
    Room freeFor(Step step) {
        Room free = mEntry.capacity().minus(mUsed);
        for (Map.Entry<Step, Room> reserved : mReserved.entrySet()) {
            if (!reserved.getKey().equals(step)) {
                free = free.minus(reserved.getValue());
            }
        }
        return free;
    }

    /** Returns whether new runs may go to this worker. */
    boolean isSchedulable(long nowMillis, long contactWithinMillis) {
        return mListed
                && !mEntry.draining()
                && mClock.isKnown()
                && mLastReportMillis >= nowMillis - contactWithinMillis
                && mExcludedUntilMillis <= nowMillis;
    }

    /** Returns whether a step's label allows this worker. */
    boolean matchesLabel(StepSpec spec) {
        String label = spec.limits().label();
        return label.isEmpty() || mEntry.labels().contains(label);
    }

    @Override
    public String toString() {
        return mId;
    }
}
