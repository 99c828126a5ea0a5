package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.jspecify.annotations.Nullable;

/**
 * Speed of one worker, from how far its runs take longer than expected. Answers workers that turn
 * slow without failing: a workflow is as late as the slowest of its tasks.
 */
final class WorkerSpeed {
    /**
     * Ratio of the actual to the expected duration from which a worker is slow. Estimates, data on
     * another rack and the kinds of workers explain a factor of two.
     */
    static final double SLOW_RATIO = 3;

    /** Number of runs that must be slow, as single ones may be longer than expected. */
    static final int MIN_RUNS = 3;

    /** Time for which the ratio of a run counts: two reports. */
    static final long WINDOW_MILLIS = 2_000;

    private final Map<TaskKey, Sample> mSamples = new HashMap<>();
    private long mSlowUntilMillis = Long.MIN_VALUE;

    /** Run whose ratio was recorded last. */
    private @Nullable TaskKey mLastTask;

    private long mLastMillis;

    /** Whether a ratio was recorded since the median was computed. */
    private boolean mOutdated;

    /** Last known ratio of a run. */
    private record Sample(double ratio, long atMillis) {}

    /** Records the ratio of the actual to the expected duration of a run. */
    void record(TaskKey task, double ratio, long nowMillis) {
        mSamples.put(task, new Sample(ratio, nowMillis));
        mLastTask = task;
        mLastMillis = nowMillis;
        mOutdated = true;
    }

    /** Returns whether the median of the recent ratios is that of a slow worker. */
    boolean isSlow(long nowMillis) {
        if (mOutdated) {
            mOutdated = false;
            update();
        }
        return nowMillis < mSlowUntilMillis;
    }

    private void update() {
        mSamples.values().removeIf(it -> mLastMillis - it.atMillis() > WINDOW_MILLIS);
        List<Double> ratios = mSamples.values().stream().map(Sample::ratio).sorted().toList();
        boolean slow =
                ratios.size() >= MIN_RUNS && ratios.get((ratios.size() - 1) / 2) >= SLOW_RATIO;
        mSlowUntilMillis = slow ? mLastMillis + WINDOW_MILLIS : mLastMillis;
    }

    /** Returns the ratio that was recorded last, for the log. */
    String describeLast() {
        Sample last = mLastTask == null ? null : mSamples.get(mLastTask);
        return last == null
                ? "no run"
                : "run %s takes %.1f times as long".formatted(mLastTask, last.ratio());
    }

    /** Forgets all runs, as a new incarnation may be of another kind. */
    void reset() {
        mSamples.clear();
        mOutdated = false;
        mSlowUntilMillis = Long.MIN_VALUE;
    }
}
