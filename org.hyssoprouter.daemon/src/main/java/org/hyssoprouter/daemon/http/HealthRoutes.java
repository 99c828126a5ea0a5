package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Jooby;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;

/** Routes of the balancer and of monitoring. */
final class HealthRoutes {
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";
    private static final long COME_BACK_MILLIS = 1_000;

    private final ApiServices mServices;

    HealthRoutes(ApiServices services) {
        mServices = services;
    }

    void install(Jooby app) {
        app.get("/live", context -> Answers.json(context, 200, new State("live")));
        app.get("/ready", this::ready);
        app.get("/metrics", new AsyncHandler(this::metrics));
    }

    /** Body of the health calls. */
    record State(String state) {}

    private Context ready(Context context) {
        if (mServices.readiness().isReady()) {
            return Answers.json(context, 200, new State("ready"));
        }
        String message = "this daemon is starting or stopping";
        return Answers.refusal(
                context, Refusal.later(RefusalCode.NOT_READY, message, COME_BACK_MILLIS));
    }

    // Scraping formats every meter, which is too long for a thread of input and output.
    private CompletableFuture<Context> metrics(Context context) {
        return CompletableFuture.supplyAsync(mServices.observer()::scrape)
                .thenApply(text -> context.setResponseType(PROMETHEUS).send(text));
    }
}
