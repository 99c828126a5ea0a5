package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/**
 * Operations on workflows for callers.
 *
 * @since 0.2
 */
public interface WorkflowService {
    /**
     * Stores a workflow; a repeat with the same identifier from the same workspace has no further
     * effect, one from another workspace is refused.
     *
     * @param configVersion version of the configuration in which the caller's queue was found
     */
    CompletableFuture<SubmitResult> submit(WorkflowSpec spec, long configVersion);

    /**
     * Returns the state of a workflow. One of another workspace does not exist for the caller.
     *
     * @param workspace name of the caller's workspace, or empty
     */
    CompletableFuture<StateResult> state(String id, String workspace);

    /**
     * Cancels a workflow. One of another workspace does not exist for the caller.
     *
     * @param workspace name of the caller's workspace, or empty
     */
    CompletableFuture<CancelResult> cancel(String id, String workspace);

    /**
     * Returns the number of workflows of a queue that wait for their first start. It counts all
     * that were accepted 2 s ago; none if no such number is known.
     */
    Option<Integer> pending(String queue);

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
