package org.hyssoprouter.pgm;

/**
 * Exit codes of the command line.
 *
 * @since 0.1
 */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** A daemon refused the request; nothing was changed. */
    REFUSED(1),
    /** The arguments are invalid or an input file cannot be read. */
    USAGE(2),
    /** No daemon could be reached; nothing was sent. */
    UNREACHABLE(3),
    /** The reply was lost; the change may have been made. */
    UNKNOWN(4),
    /** The change is durable, but not every live daemon applies it yet. */
    PENDING(5);

    private final int mStatus;

    ExitCode(int status) {
        mStatus = status;
    }

    /** Returns the exit status of the process. */
    public int status() {
        return mStatus;
    }
}
