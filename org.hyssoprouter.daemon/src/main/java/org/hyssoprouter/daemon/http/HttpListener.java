package org.hyssoprouter.daemon.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.function.Consumer;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Listens for HTTP calls on one address. Handlers run on the I/O threads and must not block.
 *
 * @since 0.2
 */
public final class HttpListener implements Service {
    private static final int WORKER_THREADS = 1;

    private final Options mOptions;
    private final Consumer<Jooby> mRoutes;
    private @Nullable NettyServer mServer;

    /**
     * Creates a listener that binds its address in {@link #start()}.
     *
     * @param routes installs the routes in an application
     */
    public HttpListener(Options options, Consumer<Jooby> routes) {
        mOptions = options;
        mRoutes = routes;
    }

    /**
     * Options of the listener.
     *
     * @param ip IP address
     * @param port port
     * @param threads number of I/O threads
     * @param maxBodyBytes maximum size of a request body, in bytes
     */
    public record Options(String ip, int port, int threads, int maxBodyBytes) {}

    /**
     * {@inheritDoc}
     *
     * @throws UncheckedIOException if the address is in use or not an address of this host
     */
    @Override
    public synchronized void start() {
        if (mServer != null) {
            return;
        }
        checkAddressIsFree();
        NettyServer server = new NettyServerWithoutShutdownHook();
        server.setOptions(serverOptions());
        server.start(createApplication());
        mServer = server;
    }

    // The library sets SO_REUSEPORT, so a second listener would take a part of the connections.
    private void checkAddressIsFree() {
        InetSocketAddress address = new InetSocketAddress(mOptions.ip(), mOptions.port());
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen on " + address, e);
        }
    }

    @Override
    public synchronized void stop() {
        if (mServer == null) {
            return;
        }
        mServer.stop();
        mServer = null;
    }

    private ServerOptions serverOptions() {
        ServerOptions options = new ServerOptions();
        options.setHost(mOptions.ip());
        options.setPort(mOptions.port());
        options.setIoThreads(mOptions.threads());
        options.setWorkerThreads(WORKER_THREADS);
        options.setMaxRequestSize(mOptions.maxBodyBytes());
        // The library writes bodies larger than the buffer to a file, but hosts have no disk.
        options.setBufferSize(mOptions.maxBodyBytes() + 1);
        options.setDefaultHeaders(false);
        return options;
    }

    private Jooby createApplication() {
        Jooby app = new Jooby();
        app.setExecutionMode(ExecutionMode.EVENT_LOOP);
        app.setStartupSummary(List.of());
        mRoutes.accept(app);
        return app;
    }

    /** Installs no shutdown hook, because the library's hook would abort calls in flight. */
    private static final class NettyServerWithoutShutdownHook extends NettyServer {
        @Override
        protected void addShutdownHook() {
            // The server is stopped by HttpListener.stop() only.
        }
    }
}
