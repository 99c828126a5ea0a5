package org.hyssoprouter.daemon.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.internal.placement.LeaseTiming;
import org.hyssoprouter.internal.placement.WorkerLease;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/**
 * Tracks one worker: its host entry, its lease, the reading of its clock and the acknowledgements
 * to send. Guarded by the shard's lock.
 */
final class TrackedWorker {
    private final LeaseTiming mTiming;
    private final WorkerLease mLease;
    private final Set<AttemptId> mAcknowledged = new LinkedHashSet<>();
    private HostInfo mHost;
    private boolean mListed = true;
    private boolean mReconciled;
    private boolean mAnswerRequired;
    private long mNextRenewalMillis;
    // Reading of the worker's clock in its last answer, and when that renewal was sent.
    private long mWorkerClockMillis;
    private long mAnsweredRenewalSentMillis;

    TrackedWorker(HostInfo host, LeaseTiming timing, WorkerLease lease) {
        mHost = host;
        mTiming = timing;
        mLease = lease;
    }

    WorkerLease lease() {
        return mLease;
    }

    HostInfo host() {
        return mHost;
    }

    void setHost(HostInfo host) {
        mHost = host;
        mListed = true;
    }

    /** Records that the worker is no longer in the platform's host list. */
    void markUnlisted() {
        mListed = false;
        mLease.treatSilenceAsExpiry();
    }

    boolean isListed() {
        return mListed;
    }

    /** Returns whether the tasks of the worker have to move to other workers. */
    boolean isLeaving(boolean drained) {
        return drained || !mListed || mHost.state() == HostState.LEAVING;
    }

    /** Returns whether new tasks may be started on the worker. */
    boolean isUsable(boolean drained, long nowMillis) {
        return !isLeaving(drained) && !mAnswerRequired && mLease.isFresh(nowMillis);
    }

    /**
     * Returns whether the attempts that were running on the worker at the takeover are known, from
     * its inventory or because its lease has expired.
     */
    boolean isReconciled() {
        return mReconciled;
    }

    void markReconciled() {
        mReconciled = true;
    }

    /** Makes the worker unusable until it answers a renewal, which becomes due at once. */
    void requireAnswer() {
        mAnswerRequired = true;
        mNextRenewalMillis = Long.MIN_VALUE;
    }

    /** Brings the next renewal forward to the interval of a worker with tasks. */
    void scheduleBusyRenewal(long nowMillis) {
        mNextRenewalMillis =
                Math.min(mNextRenewalMillis, nowMillis + mTiming.renewIntervalMillis());
    }

    boolean isRenewalDue(long nowMillis) {
        return nowMillis >= mNextRenewalMillis && mLease.maxGrantMillis(nowMillis) > 0;
    }

    /**
     * Records that a renewal is being sent and schedules the next one.
     *
     * @param busy whether the worker has attempts
     * @return the attempts that the renewal acknowledges
     */
    List<AttemptId> onRenewalSent(boolean busy, long grantMillis, long nowMillis) {
        mLease.onRenewalSent(grantMillis, nowMillis);
        boolean soon = busy || !mLease.hasAnswered() || mAnswerRequired;
        mNextRenewalMillis =
                nowMillis
                        + (soon
                                ? mTiming.renewIntervalMillis()
                                : mTiming.idleRenewIntervalMillis());
        return List.copyOf(mAcknowledged);
    }

    /**
     * Records the answer to a renewal.
     *
     * @param workerMillis time on the worker's clock when it answered
     * @param sentMillis monotonic time at which the renewal was sent
     * @param acknowledged attempts that the renewal acknowledged
     */
    void onAnswer(
            long workerMillis, long sentMillis, List<AttemptId> acknowledged, long nowMillis) {
        mLease.onAnswer(nowMillis);
        mWorkerClockMillis = workerMillis;
        mAnsweredRenewalSentMillis = sentMillis;
        mAcknowledged.removeAll(acknowledged);
        mAnswerRequired = false;
        mReconciled = true;
    }

    void acknowledge(List<AttemptId> attempts) {
        mAcknowledged.addAll(attempts);
    }

    /**
     * Returns the time on the worker's clock until which a renewal sent now is valid; a renewal
     * that is delivered later must not extend the lease. Returns 0, for no limit, before the first
     * answer and after the lease has expired, because a restarted worker may have a different
     * clock.
     */
    long renewalNotAfterMillis(long nowMillis) {
        if (!mLease.hasAnswered() || mLease.isPastExpiry(nowMillis)) {
            return 0;
        }
        return mWorkerClockMillis
                + (nowMillis - mAnsweredRenewalSentMillis)
                + mTiming.maxDeliveryDelayMillis();
    }

    /** Returns the time on the worker's clock until which a start sent now is valid. */
    long startNotAfterMillis(long nowMillis) {
        return mWorkerClockMillis
                + (nowMillis - mAnsweredRenewalSentMillis)
                + mTiming.startValidityMillis();
    }
}
