package org.hyssoprouter.internal.workflow;

/**
 * Why the runs on a worker were lost.
 *
 * @since 0.3
 */
public enum RunLossCause {
    /** The leases of the worker have lapsed; it may still be running. */
    LAPSED("leases lapsed"),
    /** The worker has started again. */
    RESTARTED("worker restarted"),
    /** Another worker uses the address. */
    ADDRESS_TAKEN("another worker uses the address"),
    /** The worker has left as planned. */
    LEFT("worker has left");

    private final String mText;

    RunLossCause(String text) {
        mText = text;
    }

    /** Returns the cause as the log names it. */
    String text() {
        return mText;
    }
}
