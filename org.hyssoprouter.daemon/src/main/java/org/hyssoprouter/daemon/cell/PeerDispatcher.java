package org.hyssoprouter.daemon.cell;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Dispatches calls of other daemons to the handler registered for their type.
 *
 * @since 0.1
 */
public final class PeerDispatcher implements PeerTransport.Handler {
    private final Map<Integer, PeerTransport.Handler> mHandlers = new ConcurrentHashMap<>();

    /**
     * Registers the handler of a call type; called before the daemon listens.
     *
     * @param type call type
     * @param queryType record type of the payload
     * @param handler handles a query; must not block
     */
    public <Q, A> void register(
            PeerCallType type, Class<Q> queryType, Function<Q, CompletableFuture<A>> handler) {
        mHandlers.put(
                type.number(), (number, trafficClass, payload) -> run(payload, queryType, handler));
    }

    /** Registers a handler that decodes the payload itself. */
    public void registerRaw(
            PeerCallType type, Function<byte[], CompletableFuture<byte[]>> handler) {
        mHandlers.put(type.number(), (number, trafficClass, payload) -> handler.apply(payload));
    }

    @Override
    public CompletableFuture<byte[]> handle(int type, TrafficClass trafficClass, byte[] payload) {
        PeerTransport.Handler handler = mHandlers.get(type);
        if (handler == null) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException("no handler for call type " + type));
        }
        return handler.handle(type, trafficClass, payload);
    }

    private static <Q, A> CompletableFuture<byte[]> run(
            byte[] payload, Class<Q> queryType, Function<Q, CompletableFuture<A>> handler) {
        Q query;
        try {
            query = MessageCodec.decode(payload, queryType);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        return handler.apply(query).thenApply(MessageCodec::encode);
    }
}
