package org.hyssoprouter.internal.workflow;

/**
 * Estimate of how quick a worker is, from the progress of its runs relative to other runs of the
 * same steps. Answers pools of workers of several kinds, whose speeds the platform does not state.
 */
final class WorkerPace {
    /** Number of samples from which the estimate is used. */
    static final int MIN_SAMPLES = 6;

    /** Difference in speed, as a logarithm, up to which workers count as equally quick. */
    static final double BAND = 0.1;

    /** Weight of the assumption that a worker is as quick as the others, in samples. */
    private static final int PRIOR = 3;

    /** Smallest weight of a sample, so that a change of speed is learned. */
    private static final double MIN_WEIGHT = 0.06;

    private double mLogSpeed;
    private int mSamples;

    /** Adds the difference, as a logarithm, of a run's progress from what is expected here. */
    void add(double difference) {
        mSamples++;
        mLogSpeed += difference * Math.max(MIN_WEIGHT, 1.0 / (mSamples + PRIOR));
    }

    /** Returns the logarithm of the speed relative to the other workers; 0 if not known yet. */
    double logSpeed() {
        return mLogSpeed;
    }

    /** Returns the speed in steps of {@link #BAND}; 0 if not known yet. */
    int band() {
        return mSamples < MIN_SAMPLES ? 0 : (int) Math.round(mLogSpeed / BAND);
    }

    /** Forgets the speed, as a new incarnation may be of another kind. */
    void reset() {
        mLogSpeed = 0;
        mSamples = 0;
    }
}
