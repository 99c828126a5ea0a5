package review3;

import java.util.Map;
import java.util.TreeMap;

/**
 * Measures how long jobs have nothing running although a task's turn has come. The cells of these
 * cases have room for all of their jobs several times over.
 */
final class IdleWatch {
    /** Time from the end of the traffic from which the rule LOST looks at this. */
    static final double FINISH_SECONDS = 14;

    /** Time with nothing running that breaks the rule. */
    static final double MAX_IDLE_SECONDS = 3;

    private static final long POLL_MILLIS = 20;

    private final Cell mCell;
    private final Map<String, Integer> mTasks;
    private final Map<String, Double> mIdleSince = new TreeMap<>();
    private double mLongest;

    /**
     * Creates a watch.
     *
     * @param tasks number of tasks of each job
     */
    IdleWatch(Cell cell, Map<String, Integer> tasks) {
        mCell = cell;
        mTasks = tasks;
    }

    /**
     * Watches until all jobs are done or the time is over. Returns the longest time in seconds for
     * which a job had nothing running.
     *
     * @param fromSeconds time of the record from which idle jobs count
     * @param untilSeconds time of the record at which the watch ends
     */
    double run(double fromSeconds, double untilSeconds) {
        while (mCell.mRecord.seconds() < untilSeconds && !look(fromSeconds)) {
            Sleep.millis(POLL_MILLIS);
        }
        mCell.mRecord.add(
                "longest time in which a job had nothing running though its turn had come: %.1f s",
                mLongest);
        return mLongest;
    }

    /** Returns whether all jobs are done. */
    private boolean look(double fromSeconds) {
        double now = mCell.mRecord.seconds();
        boolean allDone = true;
        for (Map.Entry<String, Integer> job : mTasks.entrySet()) {
            String id = job.getKey();
            boolean done = mCell.mRuns.doneTasks(id) >= job.getValue();
            allDone &= done;
            if (done || now < fromSeconds || mCell.mRuns.activeTasks(id) > 0) {
                mIdleSince.remove(id);
            } else {
                double since = mIdleSince.computeIfAbsent(id, it -> now);
                mLongest = Math.max(mLongest, now - since);
            }
        }
        return allDone;
    }
}
