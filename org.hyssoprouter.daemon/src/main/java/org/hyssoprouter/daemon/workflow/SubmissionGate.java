package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** Decides, before a workflow is stored, whether it is refused. */
interface SubmissionGate {
    /** Accepts every workflow. */
    SubmissionGate OPEN = spec -> Option.none();

    /** Returns the refusal of a workflow that is not stored yet, or none if it is accepted. */
    Option<SubmitResult> refusalOf(WorkflowSpec spec);
}
