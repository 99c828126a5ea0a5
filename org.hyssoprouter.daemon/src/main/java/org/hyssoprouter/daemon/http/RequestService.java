package org.hyssoprouter.daemon.http;

import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/**
 * Routes callers' requests to executors.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RequestService {
    /**
     * Routes a request to an executor.
     *
     * @return the final reply; the future completes normally and a failure is a refusal
     */
    CompletableFuture<RequestReply> route(RequestOrder order);
}
