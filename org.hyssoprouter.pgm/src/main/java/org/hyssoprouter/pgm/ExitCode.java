package org.hyssoprouter.pgm;

/**
 * Exit codes of the command line.
 *
 * @since 0.1
 */
public enum ExitCode {
    /** Done. */
    OK(0),
    /** Refused by the daemon; nothing was changed. */
    REFUSED(1),
    /** Wrong use of the command line, or an input file that cannot be read. */
    USAGE(2),
    /** No daemon answered; nothing was sent. */
    UNREACHABLE(3),
    /** The answer was lost; the change may have been made. */
    UNKNOWN(4),
    /** The change is durable but not in force on every live daemon yet. */
    PENDING(5);

    private final int mStatus;

    ExitCode(int status) {
        mStatus = status;
    }

    /** Returns the status of the process. */
    public int status() {
        return mStatus;
    }
}
