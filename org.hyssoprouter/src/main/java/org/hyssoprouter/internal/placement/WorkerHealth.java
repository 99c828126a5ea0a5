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
    private static final int MIN_FAILURES = 3;
    private static final int MIN_PEER_OUTCOMES = 3;
    private static final double MIN_FAILURE_RATE = 0.5;
    private static final double RATE_OVER_PEERS = 3;
    private static final int WINDOW = 32;
    private static final long FIRST_OUT_MILLIS = 30_000;
    private static final long LONGEST_OUT_MILLIS = 600_000;

    private final Map<String, Standing> mRecords = new HashMap<>();
    // Sum of the records, so that the peers of a worker are this less its own.
    private final Outcomes mAll = new Outcomes();

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
        Standing record = mRecords.computeIfAbsent(worker, name -> new Standing());
        mAll.subtract(record.mOutcomes);
        record.mOutcomes.add(failed);
        if (!failed) {
            record.recover();
        }
        mAll.add(record.mOutcomes);
        if (!failed) {
            return;
        }
        record.mFailedJobs.add(job);
        record.mProvenFailures += provenJob ? 1 : 0;
        if (record.mOnProbation || isWorseThanPeers(record)) {
            record.takeOut(nowMillis);
        }
    }

    private boolean isWorseThanPeers(Standing record) {
        boolean blamed =
                record.mProvenFailures >= MIN_FAILURES || record.mFailedJobs.size() >= MIN_FAILURES;
        double peerOutcomes = mAll.mTotal - record.mOutcomes.mTotal;
        if (!blamed || peerOutcomes < MIN_PEER_OUTCOMES) {
            return false;
        }
        double rate = record.mOutcomes.rate();
        double peerRate = (mAll.mFailed - record.mOutcomes.mFailed) / peerOutcomes;
        return rate >= MIN_FAILURE_RATE && rate >= RATE_OVER_PEERS * peerRate;
    }

    /** Returns whether a worker is taken out at an instant. */
    public boolean isExcluded(String worker, long nowMillis) {
        Standing record = mRecords.get(worker);
        return record != null && nowMillis < record.mOutUntilMillis;
    }

    /** Returns whether a worker has to prove itself with one task at a time. */
    public boolean isOnProbation(String worker) {
        Standing record = mRecords.get(worker);
        return record != null && record.mOnProbation;
    }

    private static final class Standing {
        private final Outcomes mOutcomes = new Outcomes();
        private final Set<String> mFailedJobs = new HashSet<>();
        private int mProvenFailures;
        private boolean mOnProbation;
        private long mOutUntilMillis = Long.MIN_VALUE;
        private long mOutMillis = FIRST_OUT_MILLIS;

        void recover() {
            if (mOnProbation) {
                mOnProbation = false;
                mOutMillis = FIRST_OUT_MILLIS;
                mOutcomes.clear();
            }
            mFailedJobs.clear();
            mProvenFailures = 0;
        }

        void takeOut(long nowMillis) {
            if (nowMillis < mOutUntilMillis) {
                return;
            }
            mOutUntilMillis = nowMillis + mOutMillis;
            mOutMillis = Math.min(LONGEST_OUT_MILLIS, 2 * mOutMillis);
            mOnProbation = true;
        }
    }

    /** Counts in which older outcomes weigh less. */
    private static final class Outcomes {
        private double mTotal;
        private double mFailed;

        void add(boolean failed) {
            if (mTotal >= WINDOW) {
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

        double rate() {
            return mTotal == 0 ? 0 : mFailed / mTotal;
        }

        void clear() {
            mTotal = 0;
            mFailed = 0;
        }
    }
}
