package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.JobView.TaskView;

/** Creates the views of jobs that are shown to operators. */
final class JobViewFactory {
    private JobViewFactory() {}

    /**
     * Creates a view with all tasks.
     *
     * @param note reason shown instead of the one of the job while tasks wait, or empty
     */
    static JobView full(JobEntry job, String shard, long wallMillis, String note) {
        List<TaskView> tasks = new ArrayList<>(job.mTasks.length);
        for (TaskEntry task : job.mTasks) {
            tasks.add(taskView(job, task));
        }
        return view(job, shard, wallMillis, note, tasks);
    }

    /** Creates a view without tasks. */
    static JobView brief(JobEntry job, String shard, long wallMillis) {
        return view(job, shard, wallMillis, "", List.of());
    }

    private static JobView view(
            JobEntry job, String shard, long wallMillis, String note, List<TaskView> tasks) {
        return new JobView(
                job.mSpec,
                shard,
                stateOf(job),
                reasonOf(job, note),
                job.mAcceptedWallMillis,
                waitedMillis(job, wallMillis),
                tasks);
    }

    private static JobState stateOf(JobEntry job) {
        if (job.mState.isFinal()) {
            return job.mState;
        }
        boolean started = job.mPendingCount < job.mTasks.length;
        return started ? JobState.RUNNING : JobState.PENDING;
    }

    private static String reasonOf(JobEntry job, String note) {
        if (job.mState.isFinal() || job.isEnding()) {
            return job.mFailure.isEmpty() ? job.mReason : job.mFailure;
        }
        if (job.mWaitingTasks.isEmpty()) {
            return "";
        }
        return note.isEmpty() ? job.mReason : note;
    }

    /** Returns the time until the first start, or -1 if that was under an earlier owner. */
    private static long waitedMillis(JobEntry job, long wallMillis) {
        if (job.mFirstStartWallMillis > 0) {
            return Math.max(0, job.mFirstStartWallMillis - job.mAcceptedWallMillis);
        }
        if (job.mPendingCount < job.mTasks.length) {
            return -1;
        }
        long endWallMillis = job.mState.isFinal() ? job.mEndedWallMillis : wallMillis;
        return Math.max(0, endWallMillis - job.mAcceptedWallMillis);
    }

    private static TaskView taskView(JobEntry job, TaskEntry task) {
        return new TaskView(
                task.mId.index(),
                job.visibleState(task),
                task.mAttempt,
                task.mWorker,
                task.mReason);
    }
}
