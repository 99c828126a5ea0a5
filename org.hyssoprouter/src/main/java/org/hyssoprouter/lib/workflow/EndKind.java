package org.hyssoprouter.lib.workflow;

/**
 * Reason why a run of a task ended.
 *
 * @since 0.2
 */
public enum EndKind {
    /** The run completed its work. */
    DONE,
    /** The run failed because of the task or of the worker. */
    FAILED,
    /** The run was stopped by an order of the scheduler. */
    STOPPED,
    /** The lease of the run expired. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not start within the time limit. */
    ALONE
}
