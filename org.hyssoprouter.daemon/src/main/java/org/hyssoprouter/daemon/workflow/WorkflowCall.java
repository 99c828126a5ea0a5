package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.jspecify.annotations.Nullable;

/**
 * A caller's call that a daemon passes on because the table store does not serve it.
 *
 * @param kind what the caller asks for
 * @param id identifier of the workflow
 * @param spec workflow to submit, or null for the other kinds
 * @param configVersion version of the configuration that the caller's queue was found in
 */
record WorkflowCall(Kind kind, String id, @Nullable WorkflowSpec spec, long configVersion) {
    /** What a caller asks for. */
    enum Kind {
        SUBMIT,
        STATE,
        CANCEL
    }

    static WorkflowCall submit(WorkflowSpec spec, long configVersion) {
        return new WorkflowCall(Kind.SUBMIT, spec.id(), spec, configVersion);
    }

    static WorkflowCall state(String id) {
        return new WorkflowCall(Kind.STATE, id, null, 0);
    }

    static WorkflowCall cancel(String id) {
        return new WorkflowCall(Kind.CANCEL, id, null, 0);
    }
}
