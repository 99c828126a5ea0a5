package org.hyssoprouter.internal.workflow;

/** What ran beside a run so far, by kind and time. */
final class RunObservation {
    private final double[] mBesideMillis = new double[TaskKinds.MAX_KINDS];
    private final int mGeneration;
    private final long mStartMillis;
    private long mAccruedMillis;

    /** Whether this run was used as a sample; its further progress is no independent one. */
    private boolean mUsed;

    /**
     * Begins the observation of a run.
     *
     * @param generation generation of the numbers of the kinds
     */
    RunObservation(int generation, long nowMillis) {
        mGeneration = generation;
        mStartMillis = nowMillis;
        mAccruedMillis = nowMillis;
    }

    /**
     * Adds the time since the last call.
     *
     * @param counts number of runs on the worker by kind, with this one
     * @param own kind of this run
     */
    void accrue(int[] counts, int own, long nowMillis) {
        long millis = nowMillis - mAccruedMillis;
        mAccruedMillis = nowMillis;
        if (millis <= 0) {
            return;
        }
        for (int kind = 0; kind < counts.length; kind++) {
            if (counts[kind] > (kind == own ? 1 : 0)) {
                mBesideMillis[kind] += millis;
            }
        }
    }

    /** Returns the share of the run during which each kind ran beside it. */
    double[] besideShares() {
        double[] shares = new double[mBesideMillis.length];
        double millis = Math.max(1, mAccruedMillis - mStartMillis);
        for (int kind = 0; kind < shares.length; kind++) {
            shares[kind] = mBesideMillis[kind] / millis;
        }
        return shares;
    }

    long elapsedMillis(long nowMillis) {
        return nowMillis - mStartMillis;
    }

    int generation() {
        return mGeneration;
    }

    boolean isUsed() {
        return mUsed;
    }

    void markUsed() {
        mUsed = true;
    }
}
