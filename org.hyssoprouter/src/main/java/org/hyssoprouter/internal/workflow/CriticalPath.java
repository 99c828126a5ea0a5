package org.hyssoprouter.internal.workflow;

import java.util.List;
import org.hyssoprouter.lib.workflow.StepSpec;

/**
 * Expected time from the start of each step of a workflow to the end of the workflow. All of them
 * are computed together, in one pass over the steps and their dependencies.
 */
final class CriticalPath {
    /** Size up to which the path of a workflow is as new as the durations that it is made from. */
    static final int SMALL_SIZE = 256;

    /** Mean of the runs of a queue of which too few were observed. */
    static final double UNKNOWN_MILLIS = -1;

    private final Inputs mInputs;
    private final long mRound;
    private final long[] mRemainingMillis;
    private final long mLongestMillis;
    private final int mSize;

    /**
     * Durations that all steps of a workflow share.
     *
     * @param averageMillis mean of the runs of its queue, in milliseconds; or {@link
     *     #UNKNOWN_MILLIS}
     * @param approvalMillis expected duration of an approval call, in milliseconds
     */
    record Inputs(double averageMillis, long approvalMillis) {}

    /**
     * Computes the path of a workflow.
     *
     * @param steps steps of the workflow; each depends on earlier ones only
     * @param round number of the present placement round
     */
    CriticalPath(List<StepSpec> steps, Inputs inputs, long round) {
        mInputs = inputs;
        mRound = round;
        long[] remaining = new long[steps.size()];
        long longest = 0;
        int size = steps.size();
        for (int i = steps.size() - 1; i >= 0; i--) {
            StepSpec step = steps.get(i);
            remaining[i] += taskMillis(step, inputs.averageMillis()) + inputs.approvalMillis();
            longest = Math.max(longest, remaining[i]);
            for (int predecessor : step.after()) {
                remaining[predecessor] = Math.max(remaining[predecessor], remaining[i]);
            }
            size += step.after().size();
        }
        mRemainingMillis = remaining;
        mLongestMillis = longest;
        mSize = size;
    }

    /**
     * Returns the expected duration of a task, in milliseconds.
     *
     * @param averageMillis mean of the runs of its queue, or {@link #UNKNOWN_MILLIS}
     */
    static long taskMillis(StepSpec step, double averageMillis) {
        long submittedMillis = step.estimateMillis();
        return averageMillis == UNKNOWN_MILLIS
                ? submittedMillis
                : (long) ((averageMillis + submittedMillis) / 2);
    }

    /**
     * Returns whether the path is to be computed anew. The larger a workflow is, the longer its
     * path is kept, so that each workflow costs a round about the same.
     *
     * @param round number of the present placement round
     */
    boolean isOutdated(Inputs inputs, long round) {
        return !inputs.equals(mInputs) && round - mRound >= mSize / SMALL_SIZE;
    }

    /** Returns the expected duration of the longest chain of steps, in milliseconds. */
    long longestMillis() {
        return mLongestMillis;
    }

    /** Returns the expected time from the start of a step to the end, in milliseconds. */
    long remainingMillis(int step) {
        return mRemainingMillis[step];
    }
}
