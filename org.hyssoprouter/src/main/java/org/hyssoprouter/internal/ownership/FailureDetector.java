package org.hyssoprouter.internal.ownership;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects dead daemons. A daemon is dead if an unbroken series of successful table reads has shown
 * its heartbeat row unchanged for a given time on this daemon's own monotonic clock.
 *
 * <p>A failed read, a late read and a promise to a peer each break the series, after which the time
 * of every daemon is counted from zero. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class FailureDetector {
    private final long mDeadAfterMillis;
    private final long mMaxGapMillis;
    private final Map<String, ObservedRow> mObservedRows = new HashMap<>();
    private boolean mReadsUnbroken;
    private long mUnbrokenSinceMillis;
    private long mLastReadStartMillis;
    private long mPromisedMillis = Long.MIN_VALUE;
    private int mOpenTakeovers;

    /**
     * Creates a detector without any reads.
     *
     * @param deadAfterMillis time without a new heartbeat after which a daemon is dead
     * @param maxGapMillis longest time from the start of one read to the end of the next within an
     *     unbroken series
     */
    public FailureDetector(long deadAfterMillis, long maxGapMillis) {
        mDeadAfterMillis = deadAfterMillis;
        mMaxGapMillis = maxGapMillis;
    }

    /**
     * Records a successful read of the heartbeat rows of all daemons.
     *
     * @param startMillis monotonic time at which the read began
     * @param endMillis monotonic time at which its result arrived
     * @param versions row version of each daemon, by daemon name
     */
    public synchronized void onReadSucceeded(
            long startMillis, long endMillis, Map<String, Long> versions) {
        boolean isLate = mReadsUnbroken && endMillis - mLastReadStartMillis > mMaxGapMillis;
        boolean precedesPromise = startMillis <= mPromisedMillis;
        if (!mReadsUnbroken || isLate || precedesPromise) {
            mObservedRows.clear();
            mUnbrokenSinceMillis = endMillis;
        }
        mReadsUnbroken = true;
        mLastReadStartMillis = startMillis;
        mObservedRows.keySet().retainAll(versions.keySet());
        versions.forEach((name, version) -> recordVersion(name, version, endMillis));
    }

    private void recordVersion(String name, long version, long endMillis) {
        ObservedRow observed = mObservedRows.get(name);
        if (observed == null || observed.version() != version) {
            mObservedRows.put(name, new ObservedRow(version, endMillis));
        }
    }

    /** Records a failed read. */
    public synchronized void onReadFailed() {
        mReadsUnbroken = false;
    }

    /**
     * Returns whether a daemon is dead. A daemon without a row is dead once the series of reads is
     * long enough.
     */
    public synchronized boolean isDead(String name) {
        return millisWithoutHeartbeat(name) >= mDeadAfterMillis;
    }

    /**
     * Returns for how long the current series of reads has shown the heartbeat row of a daemon
     * unchanged, in milliseconds. For a daemon without a row this is the length of the series.
     */
    public synchronized long millisWithoutHeartbeat(String name) {
        if (!mReadsUnbroken) {
            return 0;
        }
        ObservedRow observed = mObservedRows.get(name);
        return mLastReadStartMillis
                - (observed == null ? mUnbrokenSinceMillis : observed.firstReadMillis());
    }

    /** Returns the length of the current unbroken series of reads in milliseconds. */
    public synchronized long unbrokenReadMillis() {
        return mReadsUnbroken ? mLastReadStartMillis - mUnbrokenSinceMillis : 0;
    }

    /**
     * Begins a takeover from a daemon if it is still considered dead. The caller must then call
     * {@link #endTakeover}.
     *
     * @return whether the takeover may proceed
     */
    public synchronized boolean beginTakeover(String name) {
        if (!isDead(name)) {
            return false;
        }
        mOpenTakeovers++;
        return true;
    }

    /** Ends a takeover after its outcome is known. */
    public synchronized void endTakeover() {
        mOpenTakeovers--;
    }

    /**
     * Promises a peer that this daemon will not take over any shard until it has again read the
     * table without a break for the full time after which a daemon is dead. The promise is not
     * given while a takeover is in progress or if the table was read recently.
     *
     * @param staleMillis age from which the last read is no longer recent
     * @return whether the promise was given
     */
    public synchronized boolean promiseNoTakeover(long nowMillis, long staleMillis) {
        boolean isReadRecent = mReadsUnbroken && nowMillis - mLastReadStartMillis < staleMillis;
        if (isReadRecent || mOpenTakeovers > 0) {
            return false;
        }
        mPromisedMillis = nowMillis;
        mReadsUnbroken = false;
        return true;
    }

    private record ObservedRow(long version, long firstReadMillis) {}
}
