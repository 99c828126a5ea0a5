package org.hyssoprouter.lib.workflow;

/**
 * State of a workflow, as reported to callers.
 *
 * @since 0.2
 */
public enum WorkflowState {
    /** No task has started yet. */
    PENDING,
    /** At least one task has started. */
    ACTIVE,
    /** All tasks have completed. */
    COMPLETE,
    /** A task or a gang has exhausted its attempts. */
    FAILED,
    /** The caller cancelled the workflow. */
    CANCELLED;

    /** Returns whether the state is terminal. */
    public boolean isFinal() {
        return this == COMPLETE || this == FAILED || this == CANCELLED;
    }
}
