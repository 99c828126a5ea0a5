package org.hyssoprouter.standin;

/**
 * Connection to a stand-in, known by identity.
 *
 * @since 0.1
 */
public final class Connection {
    private volatile boolean mSilent;

    /** Makes the connection silent for good: what still arrives on it is dropped. */
    public void silence() {
        mSilent = true;
    }

    /** Returns whether the connection is silent. */
    public boolean isSilent() {
        return mSilent;
    }
}
