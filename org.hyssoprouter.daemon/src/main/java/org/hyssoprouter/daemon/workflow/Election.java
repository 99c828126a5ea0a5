package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;

/**
 * Decides when this daemon should try to become owner. A rival counts the owner dead by the store's
 * clock, and only over unbroken readings: a store outage makes nobody a candidate.
 */
final class Election {
    /**
     * Time without a change of the owner's row after which it counts as dead: two and a half beats.
     * The store's present answer time comes on top, several times.
     */
    static final long OWNER_TIMEOUT_MILLIS = 1_000;

    /** An owner's commit, its beat and a rival's reading each wait for the store once. */
    private static final long TIMEOUT_ROUND_TRIPS = 4;

    private static final long MAX_ROUND_TRIP_ALLOWANCE_MILLIS = 1_500;

    /** Unbroken reading that is needed after a failed one; an owner commits again within it. */
    static final long MIN_CONTINUOUS_READ_MILLIS = 1_100;

    /** Daemons let others go first for so many times their way to the store and back. */
    private static final long STAGGER_ROUND_TRIPS = 6;

    private static final long MAX_STAGGER_MILLIS = 400;

    /** Time for which a daemon lets much stronger ones go first: the owner needs the most. */
    static final long LOW_CPU_DELAY_MILLIS = 700;

    /** A daemon with less than this share of the strongest one's processor time is a weak one. */
    private static final double LOW_CPU_RATIO = 0.6;

    private static final long UNKNOWN = -1;

    private final WorkflowSettings mSettings;
    private final long mSpreadMillis;
    private long mMinRoundTripMillis = MAX_STAGGER_MILLIS / STAGGER_ROUND_TRIPS;
    private Option<OwnerRow> mRow = Option.none();
    private long mLastRoundTripMillis;
    private long mVersion;
    private boolean mRowChanged;
    private boolean mLowCpu;
    private long mUnchangedSinceMillis = UNKNOWN;
    private long mContinuousSinceMillis = UNKNOWN;

    /**
     * Creates the view of a daemon that has read nothing.
     *
     * @param spreadMillis time that keeps daemons equally near to the store apart
     */
    Election(WorkflowSettings settings, long spreadMillis) {
        mSettings = settings;
        mSpreadMillis = spreadMillis;
    }

    /** Takes note of the time of a call to the store; an owner should be near to it. */
    synchronized void recordRoundTrip(long millis) {
        mMinRoundTripMillis = Math.min(mMinRoundTripMillis, millis);
        mLastRoundTripMillis = millis;
    }

    /** Takes note of the processor time of the strongest daemon, in cores. */
    synchronized void setMaxCores(double cores) {
        mLowCpu = mSettings.cores() < LOW_CPU_RATIO * cores;
    }

    synchronized void onOwnerRow(Option<OwnerRow> row, long version) {
        if (version <= mVersion) {
            return;
        }
        mRow = row;
        mVersion = version;
        mRowChanged = true;
    }

    synchronized void onReadFailed() {
        mContinuousSinceMillis = UNKNOWN;
    }

    /** Returns whether to campaign, after a reading at a time of the store's clock. */
    synchronized boolean shouldCampaign(long storeMillis) {
        if (mRowChanged || mUnchangedSinceMillis == UNKNOWN) {
            mRowChanged = false;
            mUnchangedSinceMillis = storeMillis;
        }
        if (mContinuousSinceMillis == UNKNOWN) {
            mContinuousSinceMillis = storeMillis;
        }
        if (mRow.exists(this::isOwnEarlierIncarnation) && !mLowCpu) {
            return true;
        }
        long staggerMillis = staggerMillis();
        if (mRow.isEmpty() || mRow.get().released()) {
            return storeMillis - mUnchangedSinceMillis >= staggerMillis;
        }
        long patienceMillis =
                Math.min(
                        MAX_ROUND_TRIP_ALLOWANCE_MILLIS,
                        TIMEOUT_ROUND_TRIPS * mLastRoundTripMillis);
        long silenceMillis = storeMillis - mUnchangedSinceMillis;
        return silenceMillis >= OWNER_TIMEOUT_MILLIS + patienceMillis + staggerMillis
                && storeMillis - mContinuousSinceMillis >= MIN_CONTINUOUS_READ_MILLIS;
    }

    /** Returns the time for which this daemon lets others go first. */
    synchronized long staggerMillis() {
        long nearMillis = Math.min(MAX_STAGGER_MILLIS, mMinRoundTripMillis * STAGGER_ROUND_TRIPS);
        return mSpreadMillis + nearMillis + (mLowCpu ? LOW_CPU_DELAY_MILLIS : 0);
    }

    private boolean isOwnEarlierIncarnation(OwnerRow row) {
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
