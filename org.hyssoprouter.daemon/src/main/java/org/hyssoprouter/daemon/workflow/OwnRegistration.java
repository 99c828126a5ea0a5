package org.hyssoprouter.daemon.workflow;

/** State of this daemon's own row in the members table. Thread-safe. */
final class OwnRegistration {
    private long mVersion;
    private long mRemovedVersion;
    private boolean mUnderWay = true;
    private boolean mLeaving;

    /** Records that the row was written at a version of the store. */
    synchronized void onRegistered(long version) {
        mVersion = Math.max(mVersion, version);
        mUnderWay = false;
    }

    /**
     * Records that this incarnation's row was read at a version: an earlier attempt to write it may
     * take effect after the one that was answered, or after the row was removed.
     *
     * @return whether the row has to be removed, because the daemon has left
     */
    synchronized boolean onListed(long version) {
        boolean later = version > mVersion;
        mVersion = Math.max(mVersion, version);
        return later && mLeaving && !mUnderWay;
    }

    /** Records that the row was removed, or written by another incarnation, at a version. */
    synchronized void onRemoved(long version) {
        mRemovedVersion = Math.max(mRemovedVersion, version);
    }

    /**
     * Begins another registration if the row was removed after the last one and the daemon stays.
     *
     * @return whether the row has to be written again
     */
    synchronized boolean beginAgain() {
        if (mLeaving || mUnderWay || mRemovedVersion <= mVersion) {
            return false;
        }
        mUnderWay = true;
        return true;
    }

    /** Ends all further registrations. Returns whether this is the first such call. */
    synchronized boolean leave() {
        boolean first = !mLeaving;
        mLeaving = true;
        return first;
    }

    synchronized boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the version of the row, or 0 while a registration is under way. */
    synchronized long version() {
        return mUnderWay ? 0 : mVersion;
    }
}
