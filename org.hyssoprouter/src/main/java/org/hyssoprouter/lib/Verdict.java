package org.hyssoprouter.lib;

/**
 * Tells whether a request ran on a target.
 *
 * @since 0.1
 */
public enum Verdict {
    /** The target ran the request and its answer is complete. */
    RAN,
    /** The request was not run and will not be run later. */
    NOT_RUN,
    /** The request was sent and its outcome is unknown. */
    MAY_HAVE_RUN
}
