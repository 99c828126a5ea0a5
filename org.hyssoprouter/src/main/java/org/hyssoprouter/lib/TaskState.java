package org.hyssoprouter.lib;

/**
 * State of a task.
 *
 * @since 0.1
 */
public enum TaskState {
    /** Waits for a worker. */
    WAITING,
    /** Waits for the delay before the next attempt after a failure. */
    BACKING_OFF,
    /** Is assigned to a worker that has not yet confirmed the start. */
    STARTING,
    /** Runs on its worker. */
    RUNNING,
    /** Is being stopped. */
    STOPPING,
    /** Completed successfully. */
    SUCCEEDED,
    /** Failed and will not be retried. */
    FAILED,
    /** Was cancelled. */
    CANCELLED
}
