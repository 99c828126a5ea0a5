package org.hyssoprouter.standin;

/**
 * Client connection to a stand-in, compared by identity.
 *
 * @since 0.1
 */
public final class Connection {
    private volatile boolean mSilent;

    /** Permanently drops all further requests and responses of the connection, which stays open. */
    public void silence() {
        mSilent = true;
    }

    /** Returns whether requests and responses of the connection are dropped. */
    public boolean isSilent() {
        return mSilent;
    }
}
