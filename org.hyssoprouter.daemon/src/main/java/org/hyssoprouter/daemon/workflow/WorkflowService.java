package org.hyssoprouter.daemon.workflow;

import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/**
 * Callers' calls on workflows.
 *
 * @since 0.2
 */
public interface WorkflowService {
    /**
     * Stores a workflow; a repeat of the same identifier has no further effect.
     *
     * @param configVersion version of the configuration that the caller's queue was found in
     */
    CompletableFuture<SubmitResult> submit(WorkflowSpec spec, long configVersion);

    /** Tells the state of a workflow. */
    CompletableFuture<StateResult> state(String id);

    /** Cancels a workflow. */
    CompletableFuture<CancelResult> cancel(String id);

    /** Returns the number of workflows of a queue that wait for their first start. */
    int pending(String queue);

    /** What became of a cancellation. */
    enum CancelResult {
        /** It is durable. */
        DONE,
        /** There is no such workflow, or it is over. */
        ABSENT,
        /** It is not known whether it is durable. */
        UNKNOWN
    }
}
