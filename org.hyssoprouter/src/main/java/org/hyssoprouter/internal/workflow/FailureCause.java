package org.hyssoprouter.internal.workflow;

/**
 * Why a workflow has failed.
 *
 * @since 0.3
 */
public enum FailureCause {
    /** A task or gang has failed as often as its queue allows. */
    ATTEMPTS,
    /** A task has crashed several workers. */
    CRASHES
}
