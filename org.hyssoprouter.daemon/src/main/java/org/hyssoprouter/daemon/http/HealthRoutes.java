package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Jooby;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;

/** Installs the routes for the load balancer and for monitoring. */
final class HealthRoutes {
    private static final String PROMETHEUS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ApiServices mServices;

    HealthRoutes(ApiServices services) {
        mServices = services;
    }

    void install(Jooby app) {
        app.get("/live", context -> ResponseWriter.sendJson(context, 200, new HealthState("live")));
        app.get("/ready", this::ready);
        app.get("/metrics", new AsyncHandler(this::metrics));
    }

    /** Response body of the health calls. */
    record HealthState(String state) {}

    private Context ready(Context context) {
        if (mServices.readiness().isReady()) {
            return ResponseWriter.sendJson(context, 200, new HealthState("ready"));
        }
        String message = "this daemon is starting or stopping";
        return ResponseWriter.sendRefusal(
                context, Refusal.retryLater(RefusalCode.NOT_READY, message, RETRY_AFTER_MILLIS));
    }

    // Scraping formats every meter, which takes too long for an I/O thread.
    private CompletableFuture<Context> metrics(Context context) {
        return CompletableFuture.supplyAsync(mServices.observer()::scrape)
                .thenApply(text -> context.setResponseType(PROMETHEUS_TYPE).send(text));
    }
}
