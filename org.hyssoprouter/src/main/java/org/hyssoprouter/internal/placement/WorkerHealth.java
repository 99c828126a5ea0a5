package org.hyssoprouter.internal.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Finds workers that fail what others run. A worker is taken out when most of its tasks fail while
 * few of its peers' do, and comes back on probation with one task at a time. Failures of a job that
 * fails everywhere do not count against a worker. Not thread-safe.
 *
 * @since 0.1
 */
public final class WorkerHealth {
    private static final int MIN_COUNTED_FAILURES = 3;
    private static final int MIN_PEER_OUTCOMES = 3;
    private static final double MIN_FAILURE_RATE = 0.5;
    private static final double MIN_RATIO_TO_PEER_RATE = 3;
    private static final int MAX_TOTAL_WEIGHT = 32;
    private static final long INITIAL_EXCLUSION_MILLIS = 30_000;
    private static final long MAX_EXCLUSION_MILLIS = 600_000;

    private final Map<String, WorkerRecord> mRecordsByWorker = new HashMap<>();
    // Sum of the records, so that the peers of a worker are this less its own.
    private final Outcomes mAllOutcomes = new Outcomes();

    /** Creates a health record without workers. */
    public WorkerHealth() {}

    /**
     * Notes that a task ended by itself.
     *
     * @param job job of the task
     * @param provenJob whether another task of the job, or an earlier one, has succeeded
     */
    public void recordOutcome(
            String worker, String job, boolean failed, boolean provenJob, long nowMillis) {
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
        record.mProvenFailures += provenJob ? 1 : 0;
        if (record.mOnProbation || isWorseThanPeers(record)) {
            record.exclude(nowMillis);
        }
    }

    private boolean isWorseThanPeers(WorkerRecord record) {
        boolean blamed =
                record.mProvenFailures >= MIN_COUNTED_FAILURES
                        || record.mFailedJobs.size() >= MIN_COUNTED_FAILURES;
        double peerOutcomes = mAllOutcomes.mTotal - record.mOutcomes.mTotal;
        if (!blamed || peerOutcomes < MIN_PEER_OUTCOMES) {
            return false;
        }
        double rate = record.mOutcomes.failureRate();
        double peerRate = (mAllOutcomes.mFailed - record.mOutcomes.mFailed) / peerOutcomes;
        return rate >= MIN_FAILURE_RATE && rate >= MIN_RATIO_TO_PEER_RATE * peerRate;
    }

    /** Returns whether a worker is taken out at an instant. */
    public boolean isExcluded(String worker, long nowMillis) {
        WorkerRecord record = mRecordsByWorker.get(worker);
        return record != null && nowMillis < record.mExcludedUntilMillis;
    }

    /** Returns whether a worker has to prove itself with one task at a time. */
    public boolean isOnProbation(String worker) {
        WorkerRecord record = mRecordsByWorker.get(worker);
        return record != null && record.mOnProbation;
    }

    private static final class WorkerRecord {
        private final Outcomes mOutcomes = new Outcomes();
        private final Set<String> mFailedJobs = new HashSet<>();
        private int mProvenFailures;
        private boolean mOnProbation;
        private long mExcludedUntilMillis = Long.MIN_VALUE;
        private long mNextExclusionMillis = INITIAL_EXCLUSION_MILLIS;

        void onSuccess() {
            if (mOnProbation) {
                mOnProbation = false;
                mNextExclusionMillis = INITIAL_EXCLUSION_MILLIS;
                mOutcomes.clear();
            }
            mFailedJobs.clear();
            mProvenFailures = 0;
        }

        void exclude(long nowMillis) {
            if (nowMillis < mExcludedUntilMillis) {
                return;
            }
            mExcludedUntilMillis = nowMillis + mNextExclusionMillis;
            mNextExclusionMillis = Math.min(MAX_EXCLUSION_MILLIS, 2 * mNextExclusionMillis);
            mOnProbation = true;
        }
    }

    /** Counts in which older outcomes weigh less. */
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
