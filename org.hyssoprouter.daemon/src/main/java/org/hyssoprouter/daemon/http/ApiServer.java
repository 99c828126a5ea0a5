package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.jooby.netty.NettyServer;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server for callers and operators. Handlers never block: they run on the threads of input and
 * output and return futures.
 *
 * @since 0.1
 */
public final class ApiServer implements Service {
    private static final int WORKER_THREADS = 1;

    private final ApiOptions mOptions;
    private final ApiServices mServices;
    private final AtomicInteger mInFlight = new AtomicInteger();
    private @Nullable NettyServer mServer;

    /** Creates a server that listens after {@link #start()}. */
    public ApiServer(ApiOptions options, ApiServices services) {
        mOptions = options;
        mServices = services;
    }

    /** Returns the number of calls that have arrived whole and are not answered yet. */
    public int inFlight() {
        return mInFlight.get();
    }

    @Override
    public synchronized void start() {
        if (mServer != null) {
            return;
        }
        NettyServer server = new PlainNettyServer();
        server.setOptions(serverOptions());
        server.start(application());
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

    private Jooby application() {
        Jooby app = new Jooby();
        app.setExecutionMode(ExecutionMode.EVENT_LOOP);
        app.setStartupSummary(List.of());
        app.before(this::count);
        new RequestRoutes(mOptions, mServices).install(app);
        new OperatorRoutes(mOptions, mServices).install(app);
        new HealthRoutes(mServices).install(app);
        app.error(ApiServer::fail);
        return app;
    }

    private void count(Context context) {
        mInFlight.incrementAndGet();
        context.onComplete(done -> mInFlight.decrementAndGet());
        if (!mServices.readiness().isReady()) {
            // The balancer's kept connections must not outlive a planned stop.
            context.setResponseHeader("Connection", "close");
        }
    }

    private static void fail(Context context, Throwable cause, StatusCode status) {
        Answers.refusal(context, refusalOf(context, cause, status));
    }

    private static Refusal refusalOf(Context context, Throwable cause, StatusCode status) {
        for (Throwable t = cause; t != null; t = t.getCause()) {
            if (t instanceof RefusalException) {
                return ((RefusalException) t).refusal();
            }
        }
        if (status.value() == StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE) {
            return Refusal.notRun(RefusalCode.TOO_LARGE, "body: larger than the limit");
        }
        if (status.value() == StatusCode.NOT_FOUND_CODE
                || status.value() == StatusCode.METHOD_NOT_ALLOWED_CODE) {
            String call = context.getMethod() + " " + context.getRequestPath();
            return Refusal.notRun(RefusalCode.NOT_FOUND, "there is no call " + call);
        }
        if (status.value() < StatusCode.SERVER_ERROR_CODE) {
            return Refusal.notRun(RefusalCode.BAD_INPUT, "the call is malformed");
        }
        // An unforeseen failure says nothing about what may have run before it.
        return Refusal.mayHaveRun(
                RefusalCode.TARGET_FAILED, "internal failure: " + cause.getClass().getSimpleName());
    }

    /** Leaves planned stops to the daemon: the library's own hook would cut calls in flight. */
    private static final class PlainNettyServer extends NettyServer {
        @Override
        protected void addShutdownHook() {
            // Stopped by ApiServer.stop() only.
        }
    }
}
