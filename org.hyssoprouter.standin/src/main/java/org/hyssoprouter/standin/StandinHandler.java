package org.hyssoprouter.standin;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/**
 * Behaviour of one stand-in behind its {@link HttpEndpoint}.
 *
 * @since 0.1
 */
public interface StandinHandler {
    /**
     * Handles a request without blocking.
     *
     * @return the answer; a future that never completes leaves the caller without one
     * @throws IOException if the body is malformed, which is answered with 400
     */
    CompletableFuture<StandinResponse> handle(StandinRequest request) throws IOException;

    /** Learns that a connection was closed. */
    default void onConnectionClosed(Connection connection) {}
}
