package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;

/**
 * Decides when this daemon should try to become owner. A rival counts the owner dead by the store's
 * clock, and only over unbroken readings: a store outage makes nobody a candidate.
 */
final class Election {
    /** Time without a change of the owner's row after which it counts as dead. */
    static final long DEAD_MILLIS = 1_900;

    private static final long UNKNOWN = -1;

    private final WorkflowSettings mSettings;
    private final long mStaggerMillis;
    private Option<OwnerRow> mRow = Option.none();
    private long mVersion;
    private boolean mChanged;
    private long mUnchangedSinceMillis = UNKNOWN;

    /**
     * Creates the view of a daemon that has read nothing.
     *
     * @param staggerMillis time for which this daemon lets others go first
     */
    Election(WorkflowSettings settings, long staggerMillis) {
        mSettings = settings;
        mStaggerMillis = staggerMillis;
    }

    synchronized void ownerRow(Option<OwnerRow> row, long version) {
        if (version <= mVersion) {
            return;
        }
        mRow = row;
        mVersion = version;
        mChanged = true;
    }

    synchronized void failed() {
        mUnchangedSinceMillis = UNKNOWN;
    }

    /** Returns whether to campaign, after a reading at a time of the store's clock. */
    synchronized boolean shouldCampaign(long storeMillis) {
        if (storeMillis < 0) {
            return false;
        }
        if (mChanged || mUnchangedSinceMillis == UNKNOWN) {
            mChanged = false;
            mUnchangedSinceMillis = storeMillis;
        }
        if (mRow.exists(this::isFormerSelf)) {
            return true;
        }
        boolean vacant = mRow.isEmpty() || mRow.get().released();
        long needMillis = mStaggerMillis + (vacant ? 0 : DEAD_MILLIS);
        return storeMillis - mUnchangedSinceMillis >= needMillis;
    }

    private boolean isFormerSelf(OwnerRow row) {
        return row.owner().equals(mSettings.name())
                && !row.incarnation().equals(mSettings.incarnation());
    }

    synchronized Option<OwnerRow> row() {
        return mRow;
    }

    synchronized long version() {
        return mVersion;
    }
}
