package org.hyssoprouter.internal.workflow;

/**
 * Estimates by how much each kind of task slows down the runs of one kind: ridge regression of the
 * logarithm of progress on the presence of the other kinds, over samples that are taken relative to
 * other runs of the same step. Older samples count less.
 */
final class SlowdownRegression {
    /**
     * Weight of the assumption that a kind has no effect, in samples that were beside it and as
     * many that were not.
     */
    private static final double PRIOR = 1;

    /** Smallest standard deviation of a sample; progress is reported in whole percent. */
    private static final double MIN_DEVIATION = 0.05;

    private final int mSize = TaskKinds.MAX_KINDS;
    private final double[][] mScatter = new double[mSize][mSize];
    private final double[] mProducts = new double[mSize];
    private double mSquares;
    private double mSamples;

    /**
     * Estimated effect of a kind.
     *
     * @param effect logarithm of the slowdown factor
     * @param error standard error of the effect
     */
    record Estimate(double effect, double error) {}

    /**
     * Adds a sample.
     *
     * @param beside difference in presence of each kind from the other runs of the step
     * @param slowdown logarithm of the slowdown relative to these
     */
    void add(double[] beside, double slowdown, double weight) {
        for (int i = 0; i < mSize; i++) {
            if (beside[i] == 0) {
                continue;
            }
            for (int j = 0; j < mSize; j++) {
                mScatter[i][j] += weight * beside[i] * beside[j];
            }
            mProducts[i] += weight * beside[i] * slowdown;
        }
        mSquares += weight * slowdown * slowdown;
        mSamples += weight;
    }

    /** Reduces the weight of all samples so far by a factor. */
    void fade(double factor) {
        for (int i = 0; i < mSize; i++) {
            for (int j = 0; j < mSize; j++) {
                mScatter[i][j] *= factor;
            }
            mProducts[i] *= factor;
        }
        mSquares *= factor;
        mSamples *= factor;
    }

    double samples() {
        return mSamples;
    }

    /** Returns the number of samples with and without a kind. */
    double samplesOf(int kind) {
        // Presence and absence in equal parts have a variance of a quarter.
        return 4 * mScatter[kind][kind];
    }

    /** Returns the estimated effects of all kinds. */
    Estimate[] solve() {
        double[][] inverse = invertedScatter();
        double[] effects = new double[mSize];
        double explained = 0;
        for (int i = 0; i < mSize; i++) {
            for (int j = 0; j < mSize; j++) {
                effects[i] += inverse[i][j] * mProducts[j];
            }
            explained += effects[i] * mProducts[i];
        }
        double variance =
                Math.max(
                        MIN_DEVIATION * MIN_DEVIATION,
                        (mSquares - explained) / Math.max(1, mSamples));
        Estimate[] estimates = new Estimate[mSize];
        for (int i = 0; i < mSize; i++) {
            estimates[i] = new Estimate(effects[i], Math.sqrt(variance * inverse[i][i]));
        }
        return estimates;
    }

    /** Inverts the scatter with the prior by Gauss-Jordan; it is positive definite. */
    private double[][] invertedScatter() {
        double[][] left = new double[mSize][];
        double[][] right = new double[mSize][mSize];
        for (int i = 0; i < mSize; i++) {
            left[i] = mScatter[i].clone();
            left[i][i] += PRIOR;
            right[i][i] = 1;
        }
        for (int pivot = 0; pivot < mSize; pivot++) {
            double scale = 1 / left[pivot][pivot];
            multiply(left[pivot], scale);
            multiply(right[pivot], scale);
            for (int row = 0; row < mSize; row++) {
                double factor = left[row][pivot];
                if (row != pivot && factor != 0) {
                    subtract(left[row], left[pivot], factor);
                    subtract(right[row], right[pivot], factor);
                }
            }
        }
        return right;
    }

    private static void multiply(double[] row, double factor) {
        for (int i = 0; i < row.length; i++) {
            row[i] *= factor;
        }
    }

    private static void subtract(double[] row, double[] other, double factor) {
        for (int i = 0; i < row.length; i++) {
            row[i] -= factor * other[i];
        }
    }
}
