package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;

/** A step of one occurrence of a workflow. */
final class Step {
    final Workflow mWorkflow;
    final StepKey mKey;
    final StepSpec mSpec;
    final List<Task> mTasks = new ArrayList<>();
    final StepApprovals mApprovals = new StepApprovals();
    final Map<PoolWorker, Integer> mReservedTasks = new HashMap<>();

    /** Workers on which a run of this step did not advance. */
    final Set<String> mStalledWorkers = new HashSet<>();

    int mGangFailures;
    int mLastFailedGangRun;
    String mGangCheckpoint = "";
    long mReadyMillis = -1;
    long mReservedUntilMillis;

    Step(Workflow workflow, StepKey key, StepSpec spec) {
        mWorkflow = workflow;
        mKey = key;
        mSpec = spec;
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

    /** Returns the tasks that may be placed now; of a gang all of them or none. */
    List<Task> placeableTasks() {
        List<Task> waiting = new ArrayList<>();
        for (Task task : mTasks) {
            if (task.mPhase == Task.Phase.WAITING) {
                waiting.add(task);
            }
        }
        return mSpec.gang() && waiting.size() < mTasks.size() ? List.of() : waiting;
    }

    /** Returns the number of the next run of a task; members of a gang share it. */
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

    /** Returns the saved progress that the next run of a task resumes from. */
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

    /** Returns how many tasks of this step are on a worker. */
    int taskCountOn(PoolWorker worker) {
        int count = 0;
        for (Task task : mTasks) {
            if (worker.equals(task.mWorker)) {
                count++;
            }
        }
        return count;
    }

    void releaseReservations() {
        mReservedTasks.keySet().forEach(worker -> worker.mReserved.remove(this));
        mReservedTasks.clear();
    }
}
