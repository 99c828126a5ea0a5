package org.hyssoprouter.lib;

/**
 * State of a task.
 *
 * @since 0.1
 */
public enum TaskState {
    /** Waits for a worker. */
    WAITING,
    /** Waits for its next attempt after a failure. */
    BACKING_OFF,
    /** Has a worker; the start is not confirmed. */
    STARTING,
    /** Runs. */
    RUNNING,
    /** Is being stopped. */
    STOPPING,
    /** Ended with success. */
    SUCCEEDED,
    /** Ended and will not be tried again. */
    FAILED,
    /** Was cancelled. */
    CANCELLED
}
