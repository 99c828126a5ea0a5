package org.hyssoprouter.lib.workflow;

/**
 * How a run of a task ended.
 *
 * @since 0.2
 */
public enum EndKind {
    /** It did its work. */
    DONE,
    /** It failed, through its own fault or the worker's. */
    FAILED,
    /** It was stopped by order. */
    STOPPED,
    /** Its lease ran out. */
    LAPSED,
    /** Another member of its gang ended. */
    BROKEN,
    /** The other members of its gang did not arrive in time. */
    ALONE
}
