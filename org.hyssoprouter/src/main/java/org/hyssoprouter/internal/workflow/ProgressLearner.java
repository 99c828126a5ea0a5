package org.hyssoprouter.internal.workflow;

import java.util.List;
import org.hyssoprouter.lib.workflow.StepSpec;

/**
 * Learns from the progress of runs how quick workers are and which kinds of tasks slow each other
 * down, and ranks workers by it. Each run is one sample: its progress relative to the runs of the
 * same step before it. Members of a gang are none, as they end together.
 */
final class ProgressLearner {
    /** Shortest run from which progress is measured; reports arrive tens of milliseconds late. */
    static final long MIN_RUN_MILLIS = 150;

    /** Time after which the progress of a run that has not ended is used. */
    static final long PARTIAL_RUN_MILLIS = 1_000;

    /** Progress that such a run needs, as it is reported in whole percent. */
    static final int PARTIAL_PERCENT = 20;

    /** Largest difference in progress that counts, as a logarithm; a few tasks are much longer. */
    static final double MAX_DIFFERENCE = 1;

    /**
     * Slowness, in steps of {@link WorkerPace#BAND}, that a step without a gang does not mind: the
     * objectives allow for half as long again.
     */
    static final int TOLERATED_BANDS = 4;

    private static final int COMPLETE_PERCENT = 100;

    private final PlacementLearning mLearning;
    private final SchedulerOutput mOutput;
    private final TaskKinds mKinds = new TaskKinds();
    private final InterferenceModel mInterference = new InterferenceModel(mKinds);
    private final StepBaselines mBaselines = new StepBaselines();
    private int mGeneration;

    ProgressLearner(PlacementLearning learning, SchedulerOutput output) {
        mLearning = learning;
        mOutput = output;
    }

    /** Returns the believed pairs, those with the largest effect first. */
    List<InterferencePair> believed() {
        return mInterference.believed();
    }

    /** Records what ran on a worker since the last call. */
    void accrue(PoolWorker worker, long nowMillis) {
        if (!mLearning.isEnabled() || worker.isIdle()) {
            return;
        }
        int[] counts = new int[TaskKinds.MAX_KINDS];
        List<Task> tasks = worker.tasks();
        for (Task task : tasks) {
            int kind =
                    isActive(task) ? mKinds.assign(task.mStep.kind(), nowMillis) : TaskKinds.NONE;
            if (kind != TaskKinds.NONE) {
                counts[kind]++;
            }
        }
        if (mGeneration != mKinds.generation()) {
            mGeneration = mKinds.generation();
            mInterference.reset();
            mBaselines.clear();
        }
        for (Task task : tasks) {
            RunObservation observation = task.mObservation;
            if (observation != null && isActive(task)) {
                observation.accrue(counts, mKinds.find(task.mStep.kind()), nowMillis);
            }
        }
    }

    private static boolean isActive(Task task) {
        return task.mPhase == Task.Phase.RUNNING || task.mPhase == Task.Phase.STOPPING;
    }

    /** Begins the observation of a run whose start was observed. */
    void begin(Task task, long nowMillis) {
        StepSpec spec = task.mStep.mSpec;
        boolean comparable =
                mLearning.isEnabled()
                        && task.mRun == 1
                        && !spec.gang()
                        && !spec.habits().longRunning()
                        && !spec.habits().fills();
        task.mObservation = comparable ? new RunObservation(mGeneration, nowMillis) : null;
    }

    /** Uses the reported progress of a run once it says enough. */
    void recordProgress(PoolWorker worker, Task task, int percent, long nowMillis) {
        RunObservation observation = task.mObservation;
        if (observation != null
                && percent >= PARTIAL_PERCENT
                && observation.elapsedMillis(nowMillis) >= PARTIAL_RUN_MILLIS) {
            record(worker, task, observation, percent, nowMillis);
        }
    }

    /** Uses a run that has completed its task. */
    void recordCompletion(PoolWorker worker, Task task, long nowMillis) {
        RunObservation observation = task.mObservation;
        if (observation != null && observation.elapsedMillis(nowMillis) >= MIN_RUN_MILLIS) {
            record(worker, task, observation, COMPLETE_PERCENT, nowMillis);
        }
    }

    private void record(
            PoolWorker worker, Task task, RunObservation observation, int percent, long nowMillis) {
        int kind = mKinds.find(task.mStep.kind());
        boolean current = observation.generation() == mGeneration;
        if (observation.isUsed() || !current || kind == TaskKinds.NONE) {
            return;
        }
        observation.markUsed();
        double[] beside = observation.besideShares();
        double progress =
                Math.log((double) percent / observation.elapsedMillis(nowMillis))
                        - worker.mPace.logSpeed();
        StepBaselines.Baseline baseline = mBaselines.of(task.mStep.mKey);
        if (baseline.runs() == 0) {
            baseline.add(progress, beside);
            return;
        }
        double[] besideDifference = baseline.besideDifference(beside);
        double difference = limit(baseline.progressDifference(progress));
        double unexplained = difference;
        for (int other = 0; other < besideDifference.length; other++) {
            unexplained += mInterference.effect(kind, other) * besideDifference[other];
        }
        worker.mPace.add(unexplained);
        double weight = (double) baseline.runs() / (baseline.runs() + 1);
        mInterference.add(kind, worker.mId, beside, besideDifference, -difference, weight);
        baseline.add(baseline.limitedProgress(difference), beside);
    }

    private static double limit(double difference) {
        return Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, difference));
    }

    /** Updates what is believed and reports its changes. */
    void update(long nowMillis) {
        if (!mLearning.interference()) {
            return;
        }
        mInterference.update(nowMillis);
        mInterference.takeNewlyBelieved().forEach(mOutput::addBelieved);
        mInterference.takeNewlyForgotten().forEach(mOutput::addForgotten);
    }

    /**
     * Returns the ranking of workers for a step. Gangs, which are as slow as their slowest member,
     * prefer quick workers; other steps only avoid workers that are much slower than the rest.
     */
    WorkerRanking rankingFor(Step step) {
        boolean apart = mLearning.interference() && mInterference.hasBeliefs();
        if (!apart && !mLearning.speeds()) {
            return WorkerRanking.NONE;
        }
        boolean gang = step.mSpec.gang();
        int kind = apart ? mKinds.find(step.kind()) : TaskKinds.NONE;
        return new WorkerRanking() {
            @Override
            public int cost(PoolWorker worker) {
                double effect = kind == TaskKinds.NONE ? 0 : interference(kind, worker);
                return (int) Math.round(effect / WorkerPace.BAND);
            }

            @Override
            public int slowness(PoolWorker worker) {
                int slowness = mLearning.speeds() ? -worker.mPace.band() : 0;
                return gang ? slowness : Math.max(0, slowness - TOLERATED_BANDS);
            }

            @Override
            public boolean spreads() {
                return kind != TaskKinds.NONE && mInterference.effect(kind, kind) > 0;
            }
        };
    }

    /** Returns the slowdown of a kind on a worker and of what runs there, as a logarithm. */
    private double interference(int kind, PoolWorker worker) {
        double effect = 0;
        boolean[] seen = new boolean[TaskKinds.MAX_KINDS];
        for (Task task : worker.tasks()) {
            int other =
                    task.mPhase == Task.Phase.STOPPING
                            ? TaskKinds.NONE
                            : mKinds.find(task.mStep.kind());
            if (other == TaskKinds.NONE) {
                continue;
            }
            // Several runs of a kind slow down no more than one, but each run here is slowed.
            effect += (seen[other] ? 0 : mInterference.effect(kind, other));
            effect += mInterference.effect(other, kind);
            seen[other] = true;
        }
        return effect;
    }
}
