package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;

/**
 * Port to the service that approves workers for a step.
 *
 * @since 0.2
 */
public interface ApprovalService {
    /**
     * Requests approvals for the workers named in {@code request}.
     *
     * @param timeoutMillis timeout of the call, in milliseconds
     */
    CompletableFuture<Either<CallError, ApprovalTickets>> requestApprovals(
            ApprovalRequest request, long timeoutMillis);
}
