package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;

/**
 * Decides when this daemon should campaign to become the owner of all pools. The owner is
 * considered failed only by the clock of the table store and only over uninterrupted reads, so a
 * store outage alone does not start an election.
 */
final class Election {
    /**
     * Time without a change of the owner's row after which the owner is considered failed: two and
     * a half heartbeats. Several times the store's current response time is added.
     */
    static final long OWNER_TIMEOUT_MILLIS = 1_000;

    /**
     * Round trips added to the timeout: the owner's commit, its heartbeat and the read by this
     * daemon each wait for the store once.
     */
    private static final long TIMEOUT_ROUND_TRIPS = 4;

    private static final long MAX_ROUND_TRIP_ALLOWANCE_MILLIS = 1_500;

    /**
     * Duration of uninterrupted reads required after a failed read; a live owner commits again
     * within it.
     */
    static final long MIN_CONTINUOUS_READ_MILLIS = 1_100;

    /** Time without a change of the owner's row after which the owner is checked: a heartbeat. */
    static final long OWNER_CHECK_MILLIS = OwnerCommitter.HEARTBEAT_MILLIS + 100;

    /** Duration of uninterrupted reads required to take over from an owner that asks for it. */
    static final long MIN_TAKEOVER_READ_MILLIS = 300;

    /**
     * Campaign delay in round trips to the store, so that daemons near the store campaign first.
     */
    private static final long STAGGER_ROUND_TRIPS = 6;

    private static final long MAX_STAGGER_MILLIS = 400;

    /**
     * Additional campaign delay of a daemon with low processor time, because the owner needs more
     * of it than any other daemon.
     */
    static final long LOW_CPU_DELAY_MILLIS = 700;

    /** A daemon with less than this share of the strongest daemon's processor time is delayed. */
    static final double LOW_CPU_RATIO = 0.6;

    private static final long UNKNOWN = -1;

    private final WorkflowSettings mSettings;
    private final long mSpreadMillis;
    private long mMinRoundTripMillis = MAX_STAGGER_MILLIS / STAGGER_ROUND_TRIPS;
    private Option<OwnerRow> mRow = Option.none();
    private long mLastRoundTripMillis;
    private long mVersion;
    private boolean mRowChanged;
    private boolean mTakeoverRequested;
    private long mCheckedVersion = UNKNOWN;
    private boolean mLowCpu;
    private long mUnchangedSinceMillis = UNKNOWN;
    private long mContinuousSinceMillis = UNKNOWN;

    /**
     * Creates an election state before the first read.
     *
     * @param spreadMillis campaign delay that separates daemons equally near to the store, in
     *     milliseconds
     */
    Election(WorkflowSettings settings, long spreadMillis) {
        mSettings = settings;
        mSpreadMillis = spreadMillis;
    }

    /** Records the duration of a call to the store; daemons near the store campaign first. */
    synchronized void recordRoundTrip(long millis) {
        mMinRoundTripMillis = Math.min(mMinRoundTripMillis, millis);
        mLastRoundTripMillis = millis;
    }

    /** Sets the processor time of the strongest daemon, in cores. */
    synchronized void setMaxCores(double cores) {
        mLowCpu = mSettings.cores() < LOW_CPU_RATIO * cores;
    }

    /** Records the owner's row; an older version is ignored. */
    synchronized void onOwnerRow(Option<OwnerRow> row, long version) {
        if (version <= mVersion) {
            return;
        }
        mRow = row;
        mVersion = version;
        mRowChanged = true;
        mTakeoverRequested = false;
    }

    /**
     * Records that an owner asks for a takeover. The request lapses when its row changes: the store
     * then serves the owner again, or another daemon has taken over.
     */
    synchronized void onTakeoverRequested(TakeoverRequest request) {
        mTakeoverRequested =
                mRow.exists(
                        row ->
                                row.incarnation().equals(request.incarnation())
                                        && row.epoch() == request.epoch());
    }

    /**
     * Returns the row of another owner that has missed its heartbeat and should be checked over the
     * peer link. Returns each version of the row once.
     *
     * @param storeMillis steady clock of the store, in milliseconds
     */
    synchronized Option<OwnerRow> ownerToCheck(long storeMillis) {
        boolean silent =
                mUnchangedSinceMillis != UNKNOWN
                        && !mRowChanged
                        && storeMillis - mUnchangedSinceMillis >= OWNER_CHECK_MILLIS;
        if (!silent || mLowCpu || mVersion == mCheckedVersion) {
            return Option.none();
        }
        mCheckedVersion = mVersion;
        return mRow.filter(row -> !row.released() && !row.owner().equals(mSettings.name()));
    }

    /** Restarts the measurement of uninterrupted reads. */
    synchronized void onReadFailed() {
        mContinuousSinceMillis = UNKNOWN;
    }

    /**
     * Returns whether to campaign, after a read of the owner's row.
     *
     * @param storeMillis steady clock of the store at the read, in milliseconds
     */
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
        if (mTakeoverRequested
                && storeMillis - mContinuousSinceMillis >= MIN_TAKEOVER_READ_MILLIS) {
            return storeMillis - mUnchangedSinceMillis >= staggerMillis;
        }
        long allowanceMillis =
                Math.min(
                        MAX_ROUND_TRIP_ALLOWANCE_MILLIS,
                        TIMEOUT_ROUND_TRIPS * mLastRoundTripMillis);
        long unchangedMillis = storeMillis - mUnchangedSinceMillis;
        return unchangedMillis >= OWNER_TIMEOUT_MILLIS + allowanceMillis + staggerMillis
                && storeMillis - mContinuousSinceMillis >= MIN_CONTINUOUS_READ_MILLIS;
    }

    /** Returns the time by which this daemon delays its campaign in favor of others. */
    synchronized long staggerMillis() {
        long distanceDelayMillis =
                Math.min(MAX_STAGGER_MILLIS, mMinRoundTripMillis * STAGGER_ROUND_TRIPS);
        return mSpreadMillis + distanceDelayMillis + (mLowCpu ? LOW_CPU_DELAY_MILLIS : 0);
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
