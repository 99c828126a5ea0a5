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
    /** All tasks succeeded. */
    SUCCEEDED,
    /** A task failed in all of its attempts. */
    FAILED,
    /** An operator cancelled the job and none of its tasks runs. */
    CANCELLED;

    /** Returns whether the state is terminal. */
    public boolean isFinal() {
        return this == SUCCEEDED || this == FAILED || this == CANCELLED;
    }
}
