package org.hyssoprouter.internal.ownership;

import java.util.HashMap;
import java.util.Map;

/**
 * Which daemons are dead as far as this daemon can tell: those whose row did not change for a time
 * of this daemon's own monotonic clock that was covered by unbroken successful reads.
 *
 * <p>A failed read, a late one and a promise to a peer each break the cover, after which every
 * count starts again.
 *
 * @since 0.1
 */
public final class FailureDetector {
    private final long mDeadAfterMillis;
    private final long mMaxGapMillis;
    private final Map<String, Seen> mSeen = new HashMap<>();
    private boolean mCovered;
    private long mCoveredSinceMillis;
    private long mLastStartMillis;
    private long mBrokenMillis = Long.MIN_VALUE;
    private int mTakeovers;

    /**
     * Creates a view that has seen nothing.
     *
     * @param deadAfterMillis time without a change after which a daemon is dead
     * @param maxGapMillis longest time from the start of one read to the end of the next
     */
    public FailureDetector(long deadAfterMillis, long maxGapMillis) {
        mDeadAfterMillis = deadAfterMillis;
        mMaxGapMillis = maxGapMillis;
    }

    /**
     * Notes a successful read of all daemons' rows.
     *
     * @param startMillis monotonic time at which the read began
     * @param endMillis monotonic time at which its answer was there
     * @param versions version of each daemon's row, by name
     */
    public synchronized void onReadSucceeded(
            long startMillis, long endMillis, Map<String, Long> versions) {
        boolean isLate = mCovered && endMillis - mLastStartMillis > mMaxGapMillis;
        boolean isStale = startMillis <= mBrokenMillis;
        if (!mCovered || isLate || isStale) {
            mSeen.clear();
            mCoveredSinceMillis = endMillis;
        }
        mCovered = true;
        mLastStartMillis = startMillis;
        mSeen.keySet().retainAll(versions.keySet());
        versions.forEach((name, version) -> note(name, version, endMillis));
    }

    private void note(String name, long version, long endMillis) {
        Seen seen = mSeen.get(name);
        if (seen == null || seen.version() != version) {
            mSeen.put(name, new Seen(version, endMillis));
        }
    }

    /** Notes a failed read. */
    public synchronized void onReadFailed() {
        mCovered = false;
    }

    /** Returns whether a daemon is dead; one without a row is, once enough time was covered. */
    public synchronized boolean isDead(String name) {
        return millisWithoutHeartbeat(name) >= mDeadAfterMillis;
    }

    /** Returns for how long unbroken reads have shown the same row of a daemon, or none of it. */
    public synchronized long millisWithoutHeartbeat(String name) {
        if (!mCovered) {
            return 0;
        }
        Seen seen = mSeen.get(name);
        return mLastStartMillis - (seen == null ? mCoveredSinceMillis : seen.sinceMillis());
    }

    /** Returns for how long the reads have been unbroken, in milliseconds. */
    public synchronized long unbrokenReadMillis() {
        return mCovered ? mLastStartMillis - mCoveredSinceMillis : 0;
    }

    /**
     * Begins a takeover from a daemon, to be ended by {@link #endTakeover}.
     *
     * @return whether the daemon is still counted dead
     */
    public synchronized boolean beginTakeover(String name) {
        if (!isDead(name)) {
            return false;
        }
        mTakeovers++;
        return true;
    }

    /** Ends a takeover whose outcome is known. */
    public synchronized void endTakeover() {
        mTakeovers--;
    }

    /**
     * Promises to a peer that this daemon takes nothing over before it has read the table anew for
     * the whole time. It can't when a takeover is under way or the table was read of late.
     *
     * @param staleMillis age from which the last read no longer counts as of late
     * @return whether the promise is given
     */
    public synchronized boolean promiseNoTakeover(long nowMillis, long staleMillis) {
        boolean readOfLate = mCovered && nowMillis - mLastStartMillis < staleMillis;
        if (readOfLate || mTakeovers > 0) {
            return false;
        }
        mBrokenMillis = nowMillis;
        mCovered = false;
        return true;
    }

    private record Seen(long version, long sinceMillis) {}
}
