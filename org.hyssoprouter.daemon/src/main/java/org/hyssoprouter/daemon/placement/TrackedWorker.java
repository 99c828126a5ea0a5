package org.hyssoprouter.daemon.placement;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.internal.placement.LeaseTiming;
import org.hyssoprouter.internal.placement.WorkerLease;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/** What the driver knows of one worker; guarded by the shard's lock. */
final class TrackedWorker {
    private final LeaseTiming mTiming;
    private final WorkerLease mLease;
    private final Set<AttemptId> mAcknowledged = new LinkedHashSet<>();
    private HostInfo mHost;
    private boolean mListed = true;
    private boolean mReconciled;
    private boolean mAnswerRequired;
    private long mNextRenewalMillis;
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

    /** Notes that the platform does not list the worker any more. */
    void markUnlisted() {
        mListed = false;
        mLease.treatSilenceAsExpiry();
    }

    boolean isListed() {
        return mListed;
    }

    /** Returns whether its tasks have to move elsewhere. */
    boolean isLeaving(boolean drained) {
        return drained || !mListed || mHost.state() == HostState.LEAVING;
    }

    /** Returns whether new tasks may be started on it. */
    boolean isUsable(boolean drained, long nowMillis) {
        return !isLeaving(drained) && !mAnswerRequired && mLease.isFresh(nowMillis);
    }

    /** Returns whether it is known what ran on it at the takeover. */
    boolean isReconciled() {
        return mReconciled;
    }

    void markReconciled() {
        mReconciled = true;
    }

    /** Sends no start until the next renewal is answered. */
    void requireAnswer() {
        mAnswerRequired = true;
        mNextRenewalMillis = Long.MIN_VALUE;
    }

    /** Notes that a task is started, so that the worker is renewed as a used one. */
    void scheduleBusyRenewal(long nowMillis) {
        mNextRenewalMillis =
                Math.min(mNextRenewalMillis, nowMillis + mTiming.renewIntervalMillis());
    }

    boolean isRenewalDue(long nowMillis) {
        return nowMillis >= mNextRenewalMillis && mLease.maxGrantMillis(nowMillis) > 0;
    }

    /** Notes that a renewal is sent and returns the attempts that it acknowledges. */
    List<AttemptId> onRenewalSent(boolean used, long grantMillis, long nowMillis) {
        mLease.onRenewalSent(grantMillis, nowMillis);
        boolean soon = used || !mLease.hasAnswered() || mAnswerRequired;
        mNextRenewalMillis =
                nowMillis
                        + (soon
                                ? mTiming.renewIntervalMillis()
                                : mTiming.idleRenewIntervalMillis());
        return List.copyOf(mAcknowledged);
    }

    /** Notes an answer to a renewal that was sent at an instant. */
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
     * Returns the instant on the worker's clock until which a renewal sent now is valid. A renewal
     * that is delivered later must not move the lapse. 0 before the first answer, and after a
     * lapse, because a worker that was started anew may have another clock.
     */
    long renewalNotAfterMillis(long nowMillis) {
        if (!mLease.hasAnswered() || mLease.isPastExpiry(nowMillis)) {
            return 0;
        }
        return mWorkerClockMillis
                + (nowMillis - mAnsweredRenewalSentMillis)
                + mTiming.maxDeliveryDelayMillis();
    }

    /** Returns the instant on the worker's clock until which a start sent now is valid. */
    long startNotAfterMillis(long nowMillis) {
        return mWorkerClockMillis
                + (nowMillis - mAnsweredRenewalSentMillis)
                + mTiming.startValidityMillis();
    }
}
