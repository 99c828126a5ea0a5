package org.hyssoprouter.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/**
 * Dispatches a claimed request to the owners of other shards, when the shard with the claim has no
 * free executor. At most one of the owners runs the request.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ClaimedRequestDispatcher {
    /**
     * Dispatches a request whose key the calling shard has claimed.
     *
     * @param order request, with its remaining time as timeout
     * @param claimShard shard that has recorded the claim; it is excluded
     * @return the reply; NOT_RUN if no other shard has executed the request
     */
    CompletableFuture<RequestReply> dispatch(RequestOrder order, String claimShard);
}
