package org.hyssoprouter.internal.workflow;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.StepKey;

/**
 * Mean progress of the runs of each recent step. The tasks of a step are much alike, whereas the
 * durations of a queue's steps differ and submitted estimates are wrong by up to 90%, so that runs
 * are compared with those of their own step only.
 */
final class StepBaselines {
    /** Maximum number of steps; those without a run for the longest time are dropped. */
    private static final int MAX_STEPS = 512;

    private final Map<StepKey, Baseline> mBaselines = new LinkedHashMap<>(16, 0.75f, true);

    /** Means of the runs of one step. */
    static final class Baseline {
        private final double[] mBeside = new double[TaskKinds.MAX_KINDS];
        private double mProgress;
        private int mRuns;

        int runs() {
            return mRuns;
        }

        /** Returns the difference of the logarithm of a progress from the mean. */
        double progressDifference(double progress) {
            return progress - mProgress;
        }

        /** Returns the logarithm of the progress with a difference from the mean. */
        double limitedProgress(double difference) {
            return mProgress + difference;
        }

        /** Returns the differences of the presence of each kind from the mean. */
        double[] besideDifference(double[] beside) {
            double[] difference = new double[beside.length];
            for (int i = 0; i < beside.length; i++) {
                difference[i] = beside[i] - mBeside[i];
            }
            return difference;
        }

        /** Adds a run to the means. */
        void add(double progress, double[] beside) {
            mRuns++;
            mProgress += (progress - mProgress) / mRuns;
            for (int i = 0; i < beside.length; i++) {
                mBeside[i] += (beside[i] - mBeside[i]) / mRuns;
            }
        }
    }

    /** Returns the means of a step, without runs if it is new. */
    Baseline of(StepKey step) {
        Baseline baseline = mBaselines.computeIfAbsent(step, key -> new Baseline());
        if (mBaselines.size() > MAX_STEPS) {
            mBaselines.remove(mBaselines.keySet().iterator().next());
        }
        return baseline;
    }

    void clear() {
        mBaselines.clear();
    }
}
