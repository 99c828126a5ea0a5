package org.hyssoprouter.daemon.workflow;

import java.util.EnumMap;
import java.util.Map;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.internal.workflow.OverloadCounts;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Measures how far a pool owner lags behind its events and logs the maxima of each interval. All
 * methods run on the owner's thread.
 */
final class OwnerLoadMonitor {
    private static final EventLogger LOG = EventLogger.of(OwnerLoadMonitor.class);
    private static final long LOG_INTERVAL_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MonotonicClock mClock;
    private final WorkflowMeters mMeters;
    private final Map<StartOutcome, Integer> mOutcomes = new EnumMap<>(StartOutcome.class);
    private long mIntervalStartMillis;
    private long mMaxQueueDelayMillis;
    private long mMaxStartDelayMillis;
    private int mMaxUncommittedWorkflows;
    private int mRoundCount;
    private long mRoundNanos;
    private int mMaxPendingApprovals;
    private long mApprovalNanos;
    private int mCommitCount;
    private long mMaxCommitMillis;
    private long mMaxAcceptedAgeMillis;

    OwnerLoadMonitor(MonotonicClock clock, WorkflowMeters meters) {
        mClock = clock;
        mMeters = meters;
        mIntervalStartMillis = clock.millis();
    }

    /** Records the time that an event has waited for the owner's thread, in milliseconds. */
    void recordQueueDelay(long millis) {
        mMeters.recordOwnerQueueDelay(millis);
        mMaxQueueDelayMillis = Math.max(mMaxQueueDelayMillis, millis);
    }

    /** Records the time from the placement of a run to the sending of its start order. */
    void recordStartDelay(long millis) {
        mMeters.recordStartDelay(millis);
        mMaxStartDelayMillis = Math.max(mMaxStartDelayMillis, millis);
    }

    /** Records the outcome of a start order. */
    void recordStartOutcome(StartOutcome outcome) {
        mMeters.recordStart(outcome.name());
        mOutcomes.merge(outcome, 1, Integer::sum);
    }

    /** Records the duration of a placement round, in nanoseconds. */
    void recordRound(long nanos) {
        mMeters.recordPlacementRound(nanos);
        mRoundCount++;
        mRoundNanos += nanos;
    }

    /**
     * Records one distribution of approval requests over the daemons.
     *
     * @param pendingRequests number of requests that wait for a daemon afterwards
     * @param nanos duration in nanoseconds
     */
    void recordApprovalDispatch(int pendingRequests, long nanos) {
        mMaxPendingApprovals = Math.max(mMaxPendingApprovals, pendingRequests);
        mApprovalNanos += nanos;
    }

    /** Records the duration of a commit, in milliseconds. */
    void recordCommit(String outcome, long millis) {
        mMeters.recordCommit(outcome, millis);
        mCommitCount++;
        mMaxCommitMillis = Math.max(mMaxCommitMillis, millis);
    }

    /**
     * Records that the numbers of waiting workflows are published.
     *
     * @param waiting number of waiting workflows of all queues
     * @param acceptedAgeMillis age of what is known of the accepted workflows, in milliseconds
     * @param unsettledCount number of those waiting that may have begun under a former owner
     */
    void recordPublication(long epoch, int waiting, long acceptedAgeMillis, int unsettledCount) {
        LOG.log(LogEvent.LOAD_PUBLISHED, epoch, waiting, acceptedAgeMillis, unsettledCount);
    }

    /** Records a commit without the numbers of waiting workflows. */
    void recordHeldLoad(PendingChanges.LoadHold hold) {
        mMeters.countHeldLoad(hold.name());
    }

    /** Records the age of what is known of the accepted workflows, in milliseconds. */
    void recordAcceptedAge(long millis) {
        mMaxAcceptedAgeMillis = Math.max(mMaxAcceptedAgeMillis, millis);
    }

    /** Records the number of changed workflows that no commit includes yet. */
    void recordUncommittedWorkflows(int count) {
        mMaxUncommittedWorkflows = Math.max(mMaxUncommittedWorkflows, count);
    }

    /** Counts the preemptions of the past interval and logs them if there are any. */
    void recordOverload(OverloadCounts counts) {
        if (counts.isEmpty()) {
            return;
        }
        counts.counts().forEach((cause, count) -> mMeters.countPreemptions(cause.name(), count));
        LOG.log(LogEvent.OVERLOAD_HANDLED, counts.counts(), counts.lostCoreSeconds());
    }

    /** Returns whether an interval has elapsed, whose values {@link #logIfDue} logs. */
    boolean isLogDue() {
        return mClock.millis() - mIntervalStartMillis >= LOG_INTERVAL_MILLIS;
    }

    /** Logs and resets the values of an interval once it has elapsed. */
    void logIfDue(long epoch, int waitingSteps) {
        if (!isLogDue()) {
            return;
        }
        long nowMillis = mClock.millis();
        mMeters.recordAcceptedAge(mMaxAcceptedAgeMillis);
        LOG.log(
                LogEvent.OWNER_LOAD,
                epoch,
                mMaxQueueDelayMillis,
                mMaxStartDelayMillis,
                mMaxUncommittedWorkflows,
                waitingSteps,
                mRoundCount,
                mRoundNanos / NANOS_PER_MILLI,
                mMaxPendingApprovals,
                mApprovalNanos / NANOS_PER_MILLI,
                mCommitCount,
                mMaxCommitMillis,
                mOutcomes,
                mMaxAcceptedAgeMillis);
        mIntervalStartMillis = nowMillis;
        mMaxQueueDelayMillis = 0;
        mMaxStartDelayMillis = 0;
        mMaxUncommittedWorkflows = 0;
        mRoundCount = 0;
        mRoundNanos = 0;
        mMaxPendingApprovals = 0;
        mApprovalNanos = 0;
        mCommitCount = 0;
        mMaxCommitMillis = 0;
        mMaxAcceptedAgeMillis = 0;
        mOutcomes.clear();
    }
}
