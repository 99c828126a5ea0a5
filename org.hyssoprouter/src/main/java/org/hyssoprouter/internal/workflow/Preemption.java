package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;

/**
 * Stops tasks with checkpoints to free room for steps of higher priority. In a pool that many small
 * low-priority tasks keep full, a wide gang would otherwise never find enough room at the same
 * time.
 */
final class Preemption {
    /** Maximum number of preemptions of a task; afterwards it runs to completion. */
    static final int MAX_PREEMPTIONS = 2;

    private final PoolState mState;
    private final ToIntFunction<Step> mPriority;
    private final long mNowMillis;

    /**
     * Creates the preemption of one placement round.
     *
     * @param priority priority of a step; 0 is the most urgent
     */
    Preemption(PoolState state, ToIntFunction<Step> priority, long nowMillis) {
        mState = state;
        mPriority = priority;
        mNowMillis = nowMillis;
    }

    /** Returns the room that a step could have on a worker after preemption and pending stops. */
    Room attainableRoom(Step step, PoolWorker worker) {
        Room room = worker.freeFor(step);
        for (Task task : worker.tasks()) {
            if (task.mPhase == Task.Phase.STOPPING || isPreemptible(step, task)) {
                room = room.plus(WorkerSelector.requiredRoom(task.mStep.mSpec));
            }
        }
        return room;
    }

    /** Stops tasks on a worker until a step will have the required room there. */
    void stopTasksFor(Step step, PoolWorker worker, Room needed) {
        Room free = worker.freeFor(step);
        List<Task> victims = new ArrayList<>();
        for (Task task : worker.tasks()) {
            if (task.mPhase == Task.Phase.STOPPING) {
                free = free.plus(WorkerSelector.requiredRoom(task.mStep.mSpec));
            } else if (isPreemptible(step, task)) {
                victims.add(task);
            }
        }
        // Stops tasks of the lowest priority first and, among these, those with the least progress.
        victims.sort(
                Comparator.comparingInt((Task task) -> -mPriority.applyAsInt(task.mStep))
                        .thenComparingInt(task -> task.mPercent));
        for (Task task : victims) {
            if (needed.fitsIn(free)) {
                return;
            }
            free = free.plus(WorkerSelector.requiredRoom(task.mStep.mSpec));
            task.mPreemptions++;
            mState.mOutput.recordDecision(
                    task.mKey, "preempted", "worker=" + worker + " for " + step.mKey);
            mState.stopRun(task, "preempted for " + step.mKey, mNowMillis);
        }
    }

    private boolean isPreemptible(Step step, Task task) {
        StepSpec spec = task.mStep.mSpec;
        return task.mPhase == Task.Phase.RUNNING
                && mPriority.applyAsInt(task.mStep) > mPriority.applyAsInt(step)
                && spec.habits().checkpoints()
                && !spec.gang()
                && !spec.habits().longRunning()
                && task.mPreemptions < MAX_PREEMPTIONS;
    }
}
