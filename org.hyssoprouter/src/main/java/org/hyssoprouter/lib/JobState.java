package org.hyssoprouter.lib;

/**
 * State of a job.
 *
 * @since 0.1
 */
public enum JobState {
    /** Accepted; no task has started. */
    PENDING,
    /** At least one task has started. */
    RUNNING,
    /** All tasks ended with success. */
    SUCCEEDED,
    /** A task used up its attempts. */
    FAILED,
    /** An operator cancelled it and nothing of it runs. */
    CANCELLED;

    /** Returns whether the job will not change any more. */
    public boolean isFinal() {
        return this == SUCCEEDED || this == FAILED || this == CANCELLED;
    }
}
