package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.util.Service;

/**
 * Serves the HTTP API for callers and operators. Handlers run on the I/O threads, so they never
 * block and return futures instead.
 *
 * @since 0.1
 */
public final class ApiServer implements Service {
    private final ApiOptions mOptions;
    private final ApiServices mServices;
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final HttpListener mListener;

    /** Creates a server that starts listening in {@link #start()}. */
    public ApiServer(ApiOptions options, ApiServices services) {
        mOptions = options;
        mServices = services;
        mListener =
                new HttpListener(
                        new HttpListener.Options(
                                options.ip(),
                                options.port(),
                                options.threads(),
                                options.maxBodyBytes()),
                        this::installRoutes);
    }

    /** Returns the number of calls that were received completely and are not answered yet. */
    public int inFlight() {
        return mInFlight.get();
    }

    @Override
    public void start() {
        mListener.start();
    }

    @Override
    public void stop() {
        mListener.stop();
    }

    private void installRoutes(Jooby app) {
        app.before(this::countInFlight);
        new RequestRoutes(mOptions, mServices).install(app);
        new OperatorRoutes(mOptions, mServices).install(app);
        new HealthRoutes(mServices).install(app);
        app.error(ApiServer::sendFailure);
    }

    private void countInFlight(Context context) {
        mInFlight.incrementAndGet();
        context.onComplete(unused -> mInFlight.decrementAndGet());
        if (!mServices.readiness().isReady()) {
            // Closes the balancer's persistent connections before a planned stop ends.
            context.setResponseHeader("Connection", "close");
        }
    }

    private static void sendFailure(Context context, Throwable cause, StatusCode status) {
        ResponseWriter.sendRefusal(context, refusalOf(context, cause, status));
    }

    private static Refusal refusalOf(Context context, Throwable cause, StatusCode status) {
        for (Throwable t = cause; t != null; t = t.getCause()) {
            if (t instanceof RefusalException) {
                return ((RefusalException) t).refusal();
            }
        }
        if (status.value() == StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE) {
            return Refusal.notRun(RefusalCode.TOO_LARGE, "body: larger than the configured limit");
        }
        if (status.value() == StatusCode.NOT_FOUND_CODE
                || status.value() == StatusCode.METHOD_NOT_ALLOWED_CODE) {
            String call = context.getMethod() + " " + context.getRequestPath();
            return Refusal.notRun(RefusalCode.NOT_FOUND, "no such call: " + call);
        }
        if (status.value() < StatusCode.SERVER_ERROR_CODE) {
            return Refusal.notRun(RefusalCode.BAD_INPUT, "malformed HTTP request");
        }
        // After an unexpected failure it is unknown whether the request has run.
        return Refusal.mayHaveRun(
                RefusalCode.TARGET_FAILED, "internal error: " + cause.getClass().getSimpleName());
    }
}
