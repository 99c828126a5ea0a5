package org.hyssoprouter.daemon.adapter;

import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandlerFactory;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.LaxConnPool;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Opens and keeps HTTP connections; all of them share one thread. */
final class HttpConnector extends HttpAsyncRequester {
    // Short, so that a connection whose state an intermediate network device has dropped is rarely
    // reused.
    private static final TimeValue MAX_IDLE = TimeValue.ofSeconds(5);
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(1);

    /** How often the connections that are being opened are checked for their timeout. */
    private static final TimeValue SELECT_INTERVAL = TimeValue.ofMilliseconds(500);

    /** Each connection has buffers of this size for its input and output. */
    private static final int BUFFER_BYTES = 4_096;

    private final Pool mPool;

    private HttpConnector(Pool pool) {
        super(reactorConfig(), eventHandlers(), null, null, null, pool);
        mPool = pool;
    }

    static HttpConnector create(int maxConnectionsPerAddress) {
        return new HttpConnector(new Pool(maxConnectionsPerAddress));
    }

    private static IOReactorConfig reactorConfig() {
        return IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setSelectInterval(SELECT_INTERVAL)
                .build();
    }

    private static IOEventHandlerFactory eventHandlers() {
        HttpProcessor processor =
                HttpProcessorBuilder.create()
                        .addAll(RequestTargetHost.INSTANCE, RequestContent.INSTANCE)
                        .build();
        Http1Config config = Http1Config.custom().setBufferSize(BUFFER_BYTES).build();
        return new ClientHttp1IOEventHandlerFactory(
                new ClientHttp1StreamDuplexerFactory(processor, config, CharCodingConfig.DEFAULT),
                null,
                null);
    }

    /** Closes all connections that are not in use. */
    void closeUnused() {
        closeIdle(TimeValue.ZERO_MILLISECONDS);
    }

    /** Closes all connections to an address that are not in use. */
    void closeUnused(HttpHost host) {
        mPool.enumAvailable(
                entry -> {
                    if (entry.getRoute().equals(host)) {
                        entry.discardConnection(CloseMode.GRACEFUL);
                    }
                });
    }

    @Override
    public Future<IOSession> requestSession(
            HttpHost host, Timeout timeout, Object attachment, FutureCallback<IOSession> callback) {
        Timeout shorter = timeout.compareTo(CONNECT_TIMEOUT) < 0 ? timeout : CONNECT_TIMEOUT;
        return super.requestSession(host, shorter, attachment, callback);
    }

    /**
     * Connections that expire if they are not used again. Unlike {@code StrictConnPool}, the base
     * class passes a free place on if the first call in the queue has timed out.
     */
    private static final class Pool extends LaxConnPool<HttpHost, IOSession> {
        Pool(int maxPerAddress) {
            super(maxPerAddress, TimeValue.NEG_ONE_MILLISECOND, PoolReusePolicy.LIFO, null, null);
        }

        @Override
        public void release(PoolEntry<HttpHost, IOSession> entry, boolean reusable) {
            IOSession connection = entry.getConnection();
            if (reusable && connection != null) {
                entry.updateExpiry(MAX_IDLE);
                // Otherwise the timeout of the call that opened the connection ends later, longer
                // calls. Each call has a timer of its own.
                connection.setSocketTimeout(Timeout.DISABLED);
            }
            super.release(entry, reusable);
        }
    }
}
