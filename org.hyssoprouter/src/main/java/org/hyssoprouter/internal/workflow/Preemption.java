package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;

/**
 * Stops tasks with checkpoints to free room for more urgent steps. In a pool that many small
 * low-priority tasks keep full, a wide gang would otherwise never find enough room at the same
 * time.
 */
final class Preemption {
    /** Maximum number of preemptions of a task; afterwards it runs to completion. */
    static final int MAX_PREEMPTIONS = 2;

    private final PoolState mState;
    private final ToIntFunction<Step> mUrgency;
    private final long mNowMillis;

    /**
     * Room of the stopping and preemptible tasks of each worker, by the urgency of the step that
     * would use it. Only {@link #stopTasksFor} changes it during a round.
     */
    private final Map<Integer, Map<PoolWorker, Room>> mReclaimable = new HashMap<>();

    /**
     * Creates the preemption of one placement round.
     *
     * @param urgency urgency of a step; 0 is the most urgent
     */
    Preemption(PoolState state, ToIntFunction<Step> urgency, long nowMillis) {
        mState = state;
        mUrgency = urgency;
        mNowMillis = nowMillis;
    }

    /**
     * Returns the room that a step could have on each worker after preemption and pending stops.
     */
    Function<PoolWorker, Room> attainableRoom(Step step) {
        int urgency = mUrgency.applyAsInt(step);
        Map<PoolWorker, Room> reclaimable =
                mReclaimable.computeIfAbsent(urgency, key -> new HashMap<>());
        return worker ->
                worker.freeFor(step)
                        .plus(
                                reclaimable.computeIfAbsent(
                                        worker, key -> reclaimableRoom(key, urgency)));
    }

    private Room reclaimableRoom(PoolWorker worker, int urgency) {
        Room room = Room.NONE;
        for (Task task : worker.tasks()) {
            if (task.mPhase == Task.Phase.STOPPING || isPreemptible(task, urgency)) {
                room = room.plus(WorkerSelector.requiredRoom(task.mStep.mSpec));
            }
        }
        return room;
    }

    /** Stops tasks on a worker until a step will have the required room there. */
    void stopTasksFor(Step step, PoolWorker worker, Room needed) {
        mReclaimable.values().forEach(rooms -> rooms.remove(worker));
        int urgency = mUrgency.applyAsInt(step);
        Room free = worker.freeFor(step);
        List<Task> victims = new ArrayList<>();
        for (Task task : worker.tasks()) {
            if (task.mPhase == Task.Phase.STOPPING) {
                free = free.plus(WorkerSelector.requiredRoom(task.mStep.mSpec));
            } else if (isPreemptible(task, urgency)) {
                victims.add(task);
            }
        }
        // Stops the least urgent tasks first and, among these, those with the least progress.
        victims.sort(
                Comparator.comparingInt((Task task) -> -task.mUrgency)
                        .thenComparing(this::wouldBecomeLate)
                        .thenComparingInt(task -> task.mPercent));
        for (Task task : victims) {
            if (needed.fitsIn(free)) {
                return;
            }
            free = free.plus(WorkerSelector.requiredRoom(task.mStep.mSpec));
            task.mPreemptions++;
            recordLoss(step, task);
            mState.mOutput.recordDecision(
                    task.mKey, "preempted", "worker=" + worker + " for " + step.mKey);
            mState.stopRun(task, "preempted for " + step.mKey, mNowMillis);
        }
    }

    /** Returns whether the workflow of a task meets its objective only without a restart. */
    private boolean wouldBecomeLate(Task task) {
        OverloadPolicy policy = mState.mLimits.overload();
        long latestMillis = mState.latestStartMillis(task.mStep);
        if (!policy.weighsPreemption() || latestMillis == Long.MAX_VALUE) {
            return false;
        }
        long restartMillis = mNowMillis + mState.mLimits.stopMillis() + policy.restoreMillis();
        long doneMillis =
                mState.mDurations.taskMillis(task.mStep)
                        * Math.max(0, task.mPercent)
                        / Task.COMPLETE_PERCENT;
        return task.mPhaseMillis <= latestMillis && restartMillis - doneMillis > latestMillis;
    }

    private void recordLoss(Step step, Task victim) {
        long lostMillis = mState.mLimits.stopMillis() + mState.mLimits.overload().restoreMillis();
        long lost = lostMillis * WorkerSelector.requiredRoom(victim.mStep.mSpec).cpuMillis();
        mState.mPreemptionBudget.use(lost);
        mState.mOutput.recordPreemption(step, lost);
    }

    /** Returns whether the pool may stop tasks, or has lost too much of its time that way. */
    boolean isWithinBudget() {
        long capacity = 0;
        for (PoolWorker worker : mState.mWorkers.values()) {
            capacity += worker.mListed ? worker.entry().capacity().cpuMillis() : 0;
        }
        return mState.mPreemptionBudget.allows(capacity, mNowMillis);
    }

    /** Returns whether a task may be stopped for a step of an urgency. */
    private boolean isPreemptible(Task task, int urgency) {
        StepSpec spec = task.mStep.mSpec;
        return task.mPhase == Task.Phase.RUNNING
                && spec.habits().checkpoints()
                && !spec.gang()
                && !spec.habits().longRunning()
                && task.mPreemptions < MAX_PREEMPTIONS
                && task.mUrgency > urgency;
    }
}
