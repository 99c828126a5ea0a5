package org.hyssoprouter.lib.workflow;

/**
 * State of a workflow as callers see it.
 *
 * @since 0.2
 */
public enum WorkflowState {
    /** No task has started. */
    PENDING,
    /** A task has started. */
    ACTIVE,
    /** All tasks have ended well. */
    COMPLETE,
    /** A task or gang has used up its attempts. */
    FAILED,
    /** Its caller cancelled it. */
    CANCELLED;

    /** Returns whether the state never changes again. */
    public boolean isFinal() {
        return this == COMPLETE || this == FAILED || this == CANCELLED;
    }
}
