package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.jspecify.annotations.Nullable;

/** Step in one occurrence of a workflow, with its tasks and their approvals and reservations. */
final class Step {
    final Workflow mWorkflow;
    final StepKey mKey;
    final StepSpec mSpec;
    final List<Task> mTasks = new ArrayList<>();

    /** Name of the kind of the tasks, by which their progress is compared. */
    final String mKind;

    final StepApprovals mApprovals = new StepApprovals();

    /** Number of tasks for which room is reserved, by worker. */
    final Map<PoolWorker, Integer> mReservedTasks = new HashMap<>();

    /** End of the exclusion of the workers on which a run of this step stalled. */
    private final Map<String, Long> mStalledUntilMillis = new HashMap<>();

    /** Cause for which no task was stopped for this step last, or null. */
    OverloadCounts.@Nullable Cause mForgonePreemption;

    /** Whether a run of a task or of the gang was counted as failed. */
    boolean mHasFailures;

    int mGangFailures;

    /** Number of the last gang run that was counted as failed; each counts once, not per member. */
    int mLastFailedGangRun;

    String mGangCheckpoint = "";
    long mReadyMillis = -1;
    long mReservedUntilMillis;

    /** Whether a round has left the step out for the quota of its workspace. */
    boolean mHasWaitedForQuota;

    Step(Workflow workflow, StepKey key, StepSpec spec) {
        mWorkflow = workflow;
        mKey = key;
        mSpec = spec;
        mKind = TaskKinds.nameOf(workflow.mSpec.queue(), spec);
        for (int i = 0; i < spec.taskCount(); i++) {
            mTasks.add(new Task(this, i));
        }
    }

    boolean isDone() {
        return count(Task.Phase.DONE) == mTasks.size();
    }

    int count(Task.Phase phase) {
        int count = 0;
        for (Task task : mTasks) {
            if (task.mPhase == phase) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns the tasks that wait for a run and may get one now. For a gang, returns none unless
     * all members wait. Of other steps, suspects run first: their tasks are much alike, and all of
     * them may crash workers.
     */
    List<Task> placeableTasks() {
        List<Task> waiting = new ArrayList<>();
        boolean hasTrials = false;
        for (Task task : mTasks) {
            if (task.mPhase == Task.Phase.WAITING) {
                waiting.add(task);
            }
            hasTrials |= task.isOnTrial();
        }
        if (mSpec.gang()) {
            return waiting.size() < mTasks.size() ? List.of() : waiting;
        }
        List<Task> suspects = waiting.stream().filter(Task::isSuspect).toList();
        return suspects.isEmpty() && !hasTrials ? waiting : suspects;
    }

    /**
     * Returns whether the next runs of this step are on trial on workers of their own. A gang needs
     * all of its workers at the same time and takes those that fit.
     */
    boolean needsTrial() {
        return !mSpec.gang() && waitingCrashes() > 0;
    }

    /** Returns the highest number of crashes that are blamed on a task that waits for a run. */
    int waitingCrashes() {
        int crashes = 0;
        for (Task task : mTasks) {
            if (task.mPhase == Task.Phase.WAITING) {
                crashes = Math.max(crashes, task.mCrashes);
            }
        }
        return crashes;
    }

    /** Returns the number of a task's next run. The members of a gang share run numbers. */
    int nextRun(Task task) {
        if (!mSpec.gang()) {
            return task.mRun + 1;
        }
        int highest = 0;
        for (Task member : mTasks) {
            highest = Math.max(highest, member.mRun);
        }
        return highest + 1;
    }

    /** Returns the checkpoint from which the next run of a task resumes, or an empty text. */
    String checkpointOf(Task task) {
        return mSpec.gang() ? mGangCheckpoint : task.mCheckpoint;
    }

    void saveCheckpoint(Task task, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        task.mCheckpoint = checkpoint;
        mGangCheckpoint = checkpoint;
    }

    /** Excludes a worker on which a run stalled from new runs of this step until a time. */
    void excludeStalled(String worker, long untilMillis) {
        mStalledUntilMillis.put(worker, untilMillis);
    }

    boolean isExcluded(String worker, long nowMillis) {
        return mStalledUntilMillis.getOrDefault(worker, nowMillis) > nowMillis;
    }

    /** Returns the number of the step's tasks on a worker. */
    int taskCountOn(PoolWorker worker) {
        int count = 0;
        for (Task task : mTasks) {
            if (worker.equals(task.mWorker)) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether a task of this step has room allocated on a worker. */
    boolean hasRoom() {
        return mTasks.stream().anyMatch(Task::occupies);
    }

    /** Returns the room that is reserved for this step on all workers. */
    Room reservedRoom() {
        int count = 0;
        for (int tasks : mReservedTasks.values()) {
            count += tasks;
        }
        return WorkerSelector.multiply(WorkerSelector.requiredRoom(mSpec), count);
    }

    void releaseReservations() {
        mReservedTasks.keySet().forEach(worker -> worker.releaseReservation(this));
        mReservedTasks.clear();
    }
}
