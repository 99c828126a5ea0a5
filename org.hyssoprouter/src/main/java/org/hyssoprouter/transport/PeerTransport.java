package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Port to the other daemons: typed calls with an answer, over one connection each.
 *
 * @since 0.1
 */
public interface PeerTransport {
    /**
     * Sends a call to a peer.
     *
     * @param address {@code ip:port} of the peer's listener
     * @param type number of the call's type, see {@code PeerCallType}
     * @param trafficClass class whose queue the call waits in
     * @param payload encoded message
     * @param timeoutMillis time after which no answer is awaited
     * @return the encoded answer; the verdict of a failure says whether the call was handed over
     */
    CompletableFuture<Either<CallError, byte[]>> call(
            String address,
            int type,
            TrafficClass trafficClass,
            byte[] payload,
            long timeoutMillis);

    /** Answers calls of other daemons. */
    @FunctionalInterface
    interface Handler {
        /**
         * Handles one call; must not block.
         *
         * @return the encoded answer
         */
        CompletableFuture<byte[]> handle(int type, TrafficClass trafficClass, byte[] payload);
    }
}
