package org.hyssoprouter.standin;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/**
 * Handles the requests that an {@link HttpEndpoint} receives for one stand-in.
 *
 * @since 0.1
 */
public interface StandinHandler {
    /**
     * Handles a request without blocking.
     *
     * @return the response; if the future never completes, the caller gets no response
     * @throws IOException if the body is malformed, which is answered with 400
     */
    CompletableFuture<StandinResponse> handle(StandinRequest request) throws IOException;

    /** Called when a connection is closed. */
    default void onConnectionClosed(Connection connection) {}
}
