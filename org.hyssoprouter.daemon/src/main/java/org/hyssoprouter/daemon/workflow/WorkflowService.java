package org.hyssoprouter.daemon.workflow;

import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/**
 * Operations on workflows for callers.
 *
 * @since 0.2
 */
public interface WorkflowService {
    /**
     * Stores a workflow; a repeat with the same identifier has no further effect.
     *
     * @param configVersion version of the configuration in which the caller's queue was found
     */
    CompletableFuture<SubmitResult> submit(WorkflowSpec spec, long configVersion);

    /** Returns the state of a workflow. */
    CompletableFuture<StateResult> state(String id);

    /** Cancels a workflow. */
    CompletableFuture<CancelResult> cancel(String id);

    /** Returns the number of workflows of a queue that wait for their first start. */
    int pending(String queue);

    /** Result of a cancellation. */
    enum CancelResult {
        /** The cancellation is durable. */
        DONE,
        /** There is no such workflow, or it has finished. */
        ABSENT,
        /** It is not known whether the cancellation is durable. */
        UNKNOWN
    }
}
