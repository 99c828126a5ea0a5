package org.hyssoprouter.internal.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects workers on which tasks fail that succeed on other workers. A worker is excluded when its
 * failure rate is high and well above that of the other workers. It returns on probation, with one
 * task at a time. Failures of a job that fails on all workers do not lead to an exclusion. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class WorkerHealth {
    // Failures of jobs with a success, or failed jobs, required for an exclusion.
    private static final int MIN_COUNTED_FAILURES = 3;
    private static final int MIN_PEER_OUTCOMES = 3;
    private static final double MIN_FAILURE_RATE = 0.5;
    private static final double MIN_RATIO_TO_PEER_RATE = 3;
    // Weight of the recorded outcomes at which all are halved.
    private static final int MAX_TOTAL_WEIGHT = 32;
    private static final long INITIAL_EXCLUSION_MILLIS = 30_000;
    private static final long MAX_EXCLUSION_MILLIS = 600_000;

    private final Map<String, WorkerRecord> mRecordsByWorker = new HashMap<>();
    // Sum over all workers; subtracting the record of a worker gives the outcomes of its peers.
    private final Outcomes mAllOutcomes = new Outcomes();

    /** Creates a health tracker without workers. */
    public WorkerHealth() {}

    /**
     * Records the outcome of an attempt that was not stopped.
     *
     * @param job job of the task
     * @param failed whether the attempt failed
     * @param jobHasSuccess whether any attempt of the job has succeeded so far
     */
    public void recordOutcome(
            String worker, String job, boolean failed, boolean jobHasSuccess, long nowMillis) {
        WorkerRecord record = mRecordsByWorker.computeIfAbsent(worker, name -> new WorkerRecord());
        mAllOutcomes.subtract(record.mOutcomes);
        record.mOutcomes.add(failed);
        if (!failed) {
            record.onSuccess();
        }
        mAllOutcomes.add(record.mOutcomes);
        if (!failed) {
            return;
        }
        record.mFailedJobs.add(job);
        record.mFailuresAfterJobSuccess += jobHasSuccess ? 1 : 0;
        if (record.mOnProbation || isWorseThanPeers(record)) {
            record.exclude(nowMillis);
        }
    }

    private boolean isWorseThanPeers(WorkerRecord record) {
        boolean enoughFailures =
                record.mFailuresAfterJobSuccess >= MIN_COUNTED_FAILURES
                        || record.mFailedJobs.size() >= MIN_COUNTED_FAILURES;
        double peerOutcomes = mAllOutcomes.mTotal - record.mOutcomes.mTotal;
        if (!enoughFailures || peerOutcomes < MIN_PEER_OUTCOMES) {
            return false;
        }
        double rate = record.mOutcomes.failureRate();
        double peerRate = (mAllOutcomes.mFailed - record.mOutcomes.mFailed) / peerOutcomes;
        return rate >= MIN_FAILURE_RATE && rate >= MIN_RATIO_TO_PEER_RATE * peerRate;
    }

    /** Returns whether a worker is excluded from new work. */
    public boolean isExcluded(String worker, long nowMillis) {
        WorkerRecord record = mRecordsByWorker.get(worker);
        return record != null && nowMillis < record.mExcludedUntilMillis;
    }

    /** Returns whether a worker may run only one task at a time until one succeeds. */
    public boolean isOnProbation(String worker) {
        WorkerRecord record = mRecordsByWorker.get(worker);
        return record != null && record.mOnProbation;
    }

    private static final class WorkerRecord {
        private final Outcomes mOutcomes = new Outcomes();
        private final Set<String> mFailedJobs = new HashSet<>();
        private int mFailuresAfterJobSuccess;
        private boolean mOnProbation;
        private long mExcludedUntilMillis = Long.MIN_VALUE;
        private long mNextExclusionMillis = INITIAL_EXCLUSION_MILLIS;

        /** Ends the probation and resets the failures that count towards an exclusion. */
        void onSuccess() {
            if (mOnProbation) {
                mOnProbation = false;
                mNextExclusionMillis = INITIAL_EXCLUSION_MILLIS;
                mOutcomes.clear();
            }
            mFailedJobs.clear();
            mFailuresAfterJobSuccess = 0;
        }

        /** Excludes the worker for a time that doubles with each exclusion, up to a limit. */
        void exclude(long nowMillis) {
            if (nowMillis < mExcludedUntilMillis) {
                return;
            }
            mExcludedUntilMillis = nowMillis + mNextExclusionMillis;
            mNextExclusionMillis = Math.min(MAX_EXCLUSION_MILLIS, 2 * mNextExclusionMillis);
            mOnProbation = true;
        }
    }

    /**
     * Counts of outcomes, which are halved when they reach a limit, so that older ones weigh less.
     */
    private static final class Outcomes {
        private double mTotal;
        private double mFailed;

        void add(boolean failed) {
            if (mTotal >= MAX_TOTAL_WEIGHT) {
                mTotal /= 2;
                mFailed /= 2;
            }
            mTotal++;
            mFailed += failed ? 1 : 0;
        }

        void add(Outcomes other) {
            mTotal += other.mTotal;
            mFailed += other.mFailed;
        }

        void subtract(Outcomes other) {
            mTotal -= other.mTotal;
            mFailed -= other.mFailed;
        }

        double failureRate() {
            return mTotal == 0 ? 0 : mFailed / mTotal;
        }

        void clear() {
            mTotal = 0;
            mFailed = 0;
        }
    }
}
