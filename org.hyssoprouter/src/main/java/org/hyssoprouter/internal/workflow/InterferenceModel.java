package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Learns which kinds of tasks slow down which others on the same worker. Answers load in which some
 * tasks share more of a worker than their room states, such as its memory bandwidth.
 *
 * <p>A pair is believed once its slowdown is certain and was seen on several workers. The weight of
 * samples halves every {@link #HALF_LIFE_MILLIS}, so that the certainty of a pair that is kept
 * apart, and thus no longer observed, decreases until the pair is forgotten and may be tried again.
 */
final class InterferenceModel {
    /** Time after which a sample counts half as much. */
    static final long HALF_LIFE_MILLIS = 20_000;

    /** Interval at which beliefs are updated. */
    static final long UPDATE_MILLIS = 1_000;

    /** Number of workers on which a pair must have been seen. */
    static final int MIN_WORKERS = 3;

    /** Number of samples of a kind from which its pairs are estimated. */
    static final double MIN_SAMPLES = 30;

    /**
     * Certainty from which a pair is believed, in standard errors; hundreds of pairs are tested
     * every second.
     */
    static final double BELIEF_ERRORS = 4;

    /** Certainty below which a believed pair is forgotten, in standard errors. */
    static final double DOUBT_ERRORS = 1;

    /** Slowdown that a pair must exceed; smaller ones are not worth a worse packing. */
    static final double MIN_FACTOR = 1.1;

    /** Share of a run during which a kind must be beside it to count as seen. */
    private static final double SEEN_SHARE = 0.5;

    private final TaskKinds mKinds;
    private final Map<Integer, SlowdownRegression> mRegressions = new HashMap<>();
    private final Map<Integer, Set<String>> mWorkers = new HashMap<>();
    private final Map<Integer, InterferencePair> mBelieved = new HashMap<>();

    /** Logarithms of the believed slowdowns; 0 for the other pairs. */
    private final double[][] mEffects = new double[TaskKinds.MAX_KINDS][TaskKinds.MAX_KINDS];

    private final List<InterferencePair> mNewlyBelieved = new ArrayList<>();
    private final List<InterferencePair> mNewlyForgotten = new ArrayList<>();
    private long mUpdatedMillis = Long.MIN_VALUE;

    InterferenceModel(TaskKinds kinds) {
        mKinds = kinds;
    }

    private static int key(int slowed, int beside) {
        return slowed * TaskKinds.MAX_KINDS + beside;
    }

    /**
     * Adds a sample of a run.
     *
     * @param beside share of the run during which each kind ran beside it
     * @param difference difference of these shares from the other runs of the step
     * @param slowdown logarithm of the slowdown relative to these runs
     */
    void add(
            int kind,
            String worker,
            double[] beside,
            double[] difference,
            double slowdown,
            double weight) {
        mRegressions
                .computeIfAbsent(kind, key -> new SlowdownRegression())
                .add(difference, slowdown, weight);
        for (int other = 0; other < beside.length; other++) {
            if (beside[other] >= SEEN_SHARE) {
                Set<String> workers =
                        mWorkers.computeIfAbsent(key(kind, other), key -> new HashSet<>());
                if (workers.size() < MIN_WORKERS) {
                    workers.add(worker);
                }
            }
        }
    }

    /** Updates the beliefs if they are due. */
    void update(long nowMillis) {
        if (mUpdatedMillis == Long.MIN_VALUE) {
            mUpdatedMillis = nowMillis;
        }
        long elapsedMillis = nowMillis - mUpdatedMillis;
        if (elapsedMillis < UPDATE_MILLIS) {
            return;
        }
        mUpdatedMillis = nowMillis;
        double fading = Math.pow(0.5, (double) elapsedMillis / HALF_LIFE_MILLIS);
        mRegressions.forEach(
                (kind, regression) -> {
                    regression.fade(fading);
                    updateBeliefs(kind, regression);
                });
    }

    private void updateBeliefs(int kind, SlowdownRegression regression) {
        SlowdownRegression.Estimate[] estimates = regression.solve();
        for (int other = 0; other < estimates.length; other++) {
            int key = key(kind, other);
            Set<String> workers = mWorkers.getOrDefault(key, Set.of());
            double samples = regression.samplesOf(other);
            InterferencePair former = mBelieved.get(key);
            double effect = estimates[other].effect();
            double errors = former == null ? BELIEF_ERRORS : DOUBT_ERRORS;
            double lowest = Math.exp(effect - errors * estimates[other].error());
            boolean wellObserved =
                    former != null || (samples >= MIN_SAMPLES && workers.size() >= MIN_WORKERS);
            if (lowest >= MIN_FACTOR && wellObserved) {
                InterferencePair pair =
                        new InterferencePair(
                                mKinds.name(kind),
                                mKinds.name(other),
                                Math.exp(effect),
                                lowest,
                                samples,
                                workers.size());
                mBelieved.put(key, pair);
                mEffects[kind][other] = effect;
                if (former == null) {
                    mNewlyBelieved.add(pair);
                }
            } else if (former != null) {
                mBelieved.remove(key);
                mEffects[kind][other] = 0;
                mWorkers.remove(key);
                mNewlyForgotten.add(former);
            }
        }
    }

    /** Forgets everything, as the numbers of the kinds have changed. */
    void reset() {
        mBelieved.values().forEach(mNewlyForgotten::add);
        mBelieved.clear();
        Arrays.stream(mEffects).forEach(row -> Arrays.fill(row, 0));
        mRegressions.clear();
        mWorkers.clear();
    }

    /** Returns whether any pair is believed. */
    boolean hasBeliefs() {
        return !mBelieved.isEmpty();
    }

    /** Returns the believed pairs, those with the largest effect first. */
    List<InterferencePair> believed() {
        return mBelieved.values().stream()
                .sorted((a, b) -> Double.compare(b.factor(), a.factor()))
                .toList();
    }

    /** Returns the logarithm of the believed slowdown of a kind beside another one, 0 if none. */
    double effect(int slowed, int beside) {
        return mEffects[slowed][beside];
    }

    /** Removes and returns the pairs that were believed since the last call. */
    List<InterferencePair> takeNewlyBelieved() {
        List<InterferencePair> taken = List.copyOf(mNewlyBelieved);
        mNewlyBelieved.clear();
        return taken;
    }

    /** Removes and returns the pairs that were forgotten since the last call. */
    List<InterferencePair> takeNewlyForgotten() {
        List<InterferencePair> taken = List.copyOf(mNewlyForgotten);
        mNewlyForgotten.clear();
        return taken;
    }
}
