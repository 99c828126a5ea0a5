package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Port to the other daemons: typed calls with replies over one connection per daemon.
 *
 * @since 0.1
 */
public interface PeerTransport {
    /**
     * Sends a call to a peer.
     *
     * @param address {@code ip:port} of the peer's listener
     * @param type number of the call's type, see {@code PeerCallType}
     * @param trafficClass class in whose send queue the call is placed
     * @param payload encoded message
     * @param timeoutMillis timeout of the call, in milliseconds
     * @return the encoded reply; the verdict of a failure tells whether the call may have been sent
     */
    CompletableFuture<Either<CallError, byte[]>> call(
            String address,
            int type,
            TrafficClass trafficClass,
            byte[] payload,
            long timeoutMillis);

    /** Handles calls from other daemons. */
    @FunctionalInterface
    interface Handler {
        /**
         * Handles one call; must not block.
         *
         * @return the encoded reply
         */
        CompletableFuture<byte[]> handle(int type, TrafficClass trafficClass, byte[] payload);
    }
}
