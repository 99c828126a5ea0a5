package org.hyssoprouter.daemon.workflow;

import java.util.Objects;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.jspecify.annotations.Nullable;

/**
 * Caller's call that a daemon forwards to a peer because the table store does not answer this
 * daemon.
 *
 * @param kind operation that the caller requests
 * @param id identifier of the workflow
 * @param spec workflow to submit, or null for the other kinds
 * @param configVersion version of the configuration in which the caller's queue was found
 * @param workspace name of the caller's workspace, or empty
 */
record WorkflowCall(
        Kind kind, String id, @Nullable WorkflowSpec spec, long configVersion, String workspace) {
    /** Replaces the workspace that calls of an earlier release lack. */
    WorkflowCall {
        workspace = Objects.requireNonNullElse(workspace, "");
    }

    /** Operation that a caller requests. */
    enum Kind {
        SUBMIT,
        STATE,
        CANCEL
    }

    static WorkflowCall submit(WorkflowSpec spec, long configVersion) {
        return new WorkflowCall(Kind.SUBMIT, spec.id(), spec, configVersion, spec.workspace());
    }

    static WorkflowCall state(String id, String workspace) {
        return new WorkflowCall(Kind.STATE, id, null, 0, workspace);
    }

    static WorkflowCall cancel(String id, String workspace) {
        return new WorkflowCall(Kind.CANCEL, id, null, 0, workspace);
    }
}
