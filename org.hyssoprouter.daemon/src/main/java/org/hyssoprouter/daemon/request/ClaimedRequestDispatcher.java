package org.hyssoprouter.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/**
 * Sends a claimed request to the owner of another shard, once.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ClaimedRequestDispatcher {
    /**
     * Dispatches a request whose key the calling shard has claimed.
     *
     * @param order request with the time that is left for it
     * @param claimShard shard that holds the claim and has no free executor
     * @return the answer; NOT_RUN if no other shard could take it
     */
    CompletableFuture<RequestReply> dispatch(RequestOrder order, String claimShard);
}
