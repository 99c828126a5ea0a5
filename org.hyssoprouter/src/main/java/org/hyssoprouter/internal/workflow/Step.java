package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.jspecify.annotations.Nullable;

/** Step in one occurrence of a workflow, with its tasks and their approvals and reservations. */
final class Step {
    /** Number of tasks of a step that a round places, unless they form a gang. */
    static final int MAX_PLACEABLE = 256;

    final Workflow mWorkflow;
    final StepKey mKey;
    final StepSpec mSpec;

    /**
     * Tasks from the first one that may still change to the last one that was needed so far. The
     * tasks after them have not started; those before them are done.
     */
    final List<Task> mTasks = new ArrayList<>();

    /** Number of tasks before {@link #mTasks}, which are done. */
    private int mDoneBelow;

    /** Number of tasks in each phase, without those that were not needed yet. */
    private final Map<Task.Phase, Integer> mCounts = new EnumMap<>(Task.Phase.class);

    /** Whether the step was done under a former owner, whatever tasks are held. */
    private boolean mDone;

    /** Position in {@link #mTasks} before which all tasks are done and have no room. */
    private int mFirstOpen;

    private @Nullable String mKind;
    final StepApprovals mApprovals = new StepApprovals();

    /** Number of tasks for which room is reserved, by worker. */
    final Map<PoolWorker, Integer> mReservedTasks = new HashMap<>();

    /** End of the exclusion of the workers on which a run of this step stalled. */
    private Map<String, Long> mStalledUntilMillis = Map.of();

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

    /** Whether a round has found no room for any task since the step was queued. */
    boolean mHasWaitedForRoom;

    /** Whether a round has left the step out, as the owner holds too many runs. */
    boolean mHasWaitedForRuns;

    /** Whether a round has left the step out for the quota of its workspace. */
    boolean mHasWaitedForQuota;

    Step(Workflow workflow, StepKey key, StepSpec spec) {
        mWorkflow = workflow;
        mKey = key;
        mSpec = spec;
    }

    /** Returns the name of the kind of the tasks, by which their progress is compared. */
    String kind() {
        if (mKind == null) {
            mKind = mWorkflow.kindOf(mKey.step());
        }
        return mKind;
    }

    /** Returns whether nothing is known of the step but that its turn has come. */
    boolean isUntouched() {
        return mTasks.isEmpty()
                && mDoneBelow == 0
                && !mHasFailures
                && mReservedTasks.isEmpty()
                && mStalledUntilMillis.isEmpty()
                && mApprovals.isUnused();
    }

    /** Returns the number of leading tasks that are done and are not held any more. */
    int doneBelow() {
        return mDoneBelow;
    }

    /** Returns a task, or null if it is done and not held any more, or was not needed yet. */
    @Nullable Task heldTask(int index) {
        int position = index - mDoneBelow;
        return position >= 0 && position < mTasks.size() ? mTasks.get(position) : null;
    }

    /** Returns a task that is not known to be done. Those before it are needed from now on, too. */
    Task task(int index) {
        createTasks(index + 1);
        return mTasks.get(index - mDoneBelow);
    }

    private void createTasks(int endIndex) {
        for (int index = mDoneBelow + mTasks.size(); index < endIndex; index++) {
            mTasks.add(new Task(this, index));
            mCounts.merge(Task.Phase.WAITING, 1, Integer::sum);
        }
    }

    /** Records that the leading tasks were done under a former owner. */
    void restoreDoneBelow(int count) {
        mDoneBelow = count;
        mCounts.merge(Task.Phase.DONE, count, Integer::sum);
    }

    /**
     * Lets go of leading tasks that are done, in multiples of a number, so that a wide step takes
     * memory for what runs and waits, not for what has ended.
     */
    void dropDone(int multiple) {
        if (mSpec.gang()) {
            return;
        }
        advanceFirstOpen();
        int count = mFirstOpen / multiple * multiple;
        mTasks.subList(0, count).clear();
        mDoneBelow += count;
        mFirstOpen -= count;
    }

    private void advanceFirstOpen() {
        while (mFirstOpen < mTasks.size()) {
            Task task = mTasks.get(mFirstOpen);
            if (task.mPhase != Task.Phase.DONE || task.occupies()) {
                return;
            }
            mFirstOpen++;
        }
    }

    /** Returns the tasks that were needed so far, without leading ones that are done. */
    private List<Task> openTasks() {
        advanceFirstOpen();
        return mTasks.subList(mFirstOpen, mTasks.size());
    }

    /** Counts the change of a task's phase. */
    void onPhaseChanged(Task.Phase from, Task.Phase to) {
        mCounts.merge(from, -1, Integer::sum);
        mCounts.merge(to, 1, Integer::sum);
        mWorkflow.countActiveRuns((to.isActive() ? 1 : 0) - (from.isActive() ? 1 : 0));
    }

    boolean isDone() {
        return mDone || count(Task.Phase.DONE) == mSpec.taskCount();
    }

    /**
     * Records that the step was done under a former owner; the tasks that are held may have room.
     */
    void markDone(long nowMillis) {
        mDone = true;
        mTasks.forEach(task -> task.setPhase(Task.Phase.DONE, nowMillis));
    }

    int count(Task.Phase phase) {
        int notNeeded = mSpec.taskCount() - mDoneBelow - mTasks.size();
        return mCounts.getOrDefault(phase, 0) + (phase == Task.Phase.WAITING ? notNeeded : 0);
    }

    /** Marks all tasks as done. */
    void completeAll(long nowMillis) {
        createTasks(mSpec.taskCount());
        mTasks.forEach(task -> task.setPhase(Task.Phase.DONE, nowMillis));
    }

    /**
     * Returns the number of tasks that wait for a run and may get one now, at most {@link
     * #MAX_PLACEABLE}. For a gang, returns 0 unless all members wait, and then their number.
     */
    int placeableCount() {
        if (mSpec.gang()) {
            return count(Task.Phase.WAITING) < mSpec.taskCount() ? 0 : mSpec.taskCount();
        }
        int suspects = 0;
        boolean hasTrials = false;
        for (Task task : openTasks()) {
            suspects += task.mPhase == Task.Phase.WAITING && task.isSuspect() ? 1 : 0;
            hasTrials |= task.isOnTrial();
        }
        boolean onlySuspects = suspects > 0 || hasTrials;
        return Math.min(MAX_PLACEABLE, onlySuspects ? suspects : count(Task.Phase.WAITING));
    }

    /**
     * Returns the first of the placeable tasks. Of steps that are no gangs, suspects run first:
     * their tasks are much alike, and all of them may crash workers.
     *
     * @param limit number of tasks that there is room for, which are needed from now on
     */
    List<Task> placeableTasks(int limit) {
        int count = Math.min(limit, placeableCount());
        boolean onlySuspects = !mSpec.gang() && count > 0 && hasWaitingSuspects();
        List<Task> tasks = new ArrayList<>(count);
        for (Task task : openTasks()) {
            if (tasks.size() == count) {
                return tasks;
            }
            if (task.mPhase == Task.Phase.WAITING && (!onlySuspects || task.isSuspect())) {
                tasks.add(task);
            }
        }
        while (tasks.size() < count) {
            tasks.add(task(mDoneBelow + mTasks.size()));
        }
        return tasks;
    }

    private boolean hasWaitingSuspects() {
        return waitingCrashes() > 0;
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
        for (Task task : openTasks()) {
            if (task.mPhase == Task.Phase.WAITING) {
                crashes = Math.max(crashes, task.mCrashes);
            }
        }
        return crashes;
    }

    /** Returns the numbers of the next runs of tasks. The members of a gang share run numbers. */
    Map<Task, Integer> nextRuns(Collection<Task> tasks) {
        Map<Task, Integer> runs = new LinkedHashMap<>();
        int highest = 0;
        if (mSpec.gang()) {
            for (Task member : mTasks) {
                highest = Math.max(highest, member.mRun);
            }
        }
        for (Task task : tasks) {
            runs.put(task, 1 + (mSpec.gang() ? highest : task.mRun));
        }
        return runs;
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
        if (mStalledUntilMillis.isEmpty()) {
            mStalledUntilMillis = new HashMap<>();
        }
        mStalledUntilMillis.put(worker, untilMillis);
    }

    boolean isExcluded(String worker, long nowMillis) {
        return mStalledUntilMillis.getOrDefault(worker, nowMillis) > nowMillis;
    }

    /** Returns the number of the step's tasks on a worker. */
    int taskCountOn(PoolWorker worker) {
        int count = 0;
        for (Task task : openTasks()) {
            if (worker.equals(task.mWorker)) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether a task of this step has room allocated on a worker. */
    boolean hasRoom() {
        return openTasks().stream().anyMatch(Task::occupies);
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
