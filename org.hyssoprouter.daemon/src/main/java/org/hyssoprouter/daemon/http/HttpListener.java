package org.hyssoprouter.daemon.http;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.List;
import java.util.function.Consumer;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * One listening HTTP address. Handlers run on the threads of input and output and never block.
 *
 * @since 0.2
 */
public final class HttpListener implements Service {
    private static final int WORKER_THREADS = 1;

    private final Options mOptions;
    private final Consumer<Jooby> mRoutes;
    private @Nullable NettyServer mServer;

    /**
     * Creates a listener that is bound by {@link #start()}.
     *
     * @param routes installs the routes
     */
    public HttpListener(Options options, Consumer<Jooby> routes) {
        mOptions = options;
        mRoutes = routes;
    }

    /**
     * Where and how to listen.
     *
     * @param ip IP number
     * @param port port
     * @param threads threads for input and output
     * @param maxBodyBytes largest body of a call
     */
    public record Options(String ip, int port, int threads, int maxBodyBytes) {}

    @Override
    public synchronized void start() {
        if (mServer != null) {
            return;
        }
        NettyServer server = new NettyServerWithoutShutdownHook();
        server.setOptions(serverOptions());
        server.start(createApplication());
        mServer = server;
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
        // Bodies above the buffer size would go to a file; hosts have no disk.
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

    /** Leaves planned stops to the daemon: the library's own hook would cut calls in flight. */
    private static final class NettyServerWithoutShutdownHook extends NettyServer {
        @Override
        protected void addShutdownHook() {
            // Stopped by HttpListener.stop() only.
        }
    }
}
