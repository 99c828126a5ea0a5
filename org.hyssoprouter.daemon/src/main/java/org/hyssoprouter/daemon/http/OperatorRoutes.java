package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Jooby;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.internal.config.ConfigValidator;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Verdict;

/** Installs the routes for operators. All of them require the operators' token. */
final class OperatorRoutes {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ACCEPTED = 202;

    private final ApiServices mServices;
    private final OperatorAuthenticator mAuthenticator;

    OperatorRoutes(ApiOptions options, ApiServices services) {
        mServices = services;
        mAuthenticator = new OperatorAuthenticator(options.operatorToken());
    }

    void install(Jooby app) {
        installJobs(app);
        installConfig(app);
        installCluster(app);
    }

    private void installJobs(Jooby app) {
        JobService jobs = mServices.jobs();
        app.post("/v1/jobs", writeHandler(this::submit));
        app.get("/v1/jobs", readHandler(c -> jobs.list(customerOf(c))));
        app.get("/v1/jobs/{id}", readHandler(c -> jobs.view(jobId(c))));
        app.get("/v1/jobs/{id}/explain", readHandler(c -> jobs.explain(jobId(c))));
        app.delete("/v1/jobs/{id}", writeHandler(this::cancel));
    }

    private void installConfig(Jooby app) {
        ConfigService config = mServices.config();
        app.get("/v1/config", readHandler(c -> config.current()));
        app.get("/v1/config/history", readHandler(c -> config.history()));
        app.get("/v1/config/status", readHandler(c -> config.status()));
        app.put("/v1/config", writeHandler(this::putConfig));
    }

    private void installCluster(Jooby app) {
        ClusterService cluster = mServices.cluster();
        app.get("/v1/shards", readHandler(c -> cluster.shards()));
        app.get("/v1/hosts", readHandler(c -> cluster.hosts()));
        app.post("/v1/hosts/{worker}/drain", writeHandler(c -> drain(c, true)));
        app.delete("/v1/hosts/{worker}/drain", writeHandler(c -> drain(c, false)));
        app.get("/v1/customers", this::customers);
        app.get("/v1/top", this::top);
    }

    private <T> AsyncHandler readHandler(
            Function<Context, CompletableFuture<Either<Refusal, T>>> call) {
        return new AsyncHandler(
                context -> {
                    mAuthenticator.requireToken(context);
                    return call.apply(context).thenApply(result -> send(context, OK, result));
                });
    }

    private AsyncHandler writeHandler(Function<Context, CompletableFuture<Context>> call) {
        return new AsyncHandler(
                context -> {
                    mAuthenticator.requireToken(context);
                    Preconditions.requireServing(mServices.readiness());
                    return call.apply(context);
                });
    }

    private CompletableFuture<Context> submit(Context context) {
        JobSpec spec = JsonBody.read(context.body().bytes(), JobSpec.class);
        JobSpecValidator.validate(spec)
                .peek(
                        fault -> {
                            throw new RefusalException(fault);
                        });
        if (Preconditions.requireConfig(mServices.configView())
                .policyOf(spec.customer())
                .isEmpty()) {
            String message = "customer: no customer named " + spec.customer();
            throw new RefusalException(
                    new Refusal(RefusalCode.NOT_FOUND, Verdict.NOT_RUN, message, "customer", 0));
        }
        return mServices.jobs().submit(spec).thenApply(result -> send(context, CREATED, result));
    }

    private CompletableFuture<Context> cancel(Context context) {
        return mServices
                .jobs()
                .cancel(jobId(context))
                .thenApply(result -> send(context, ACCEPTED, result));
    }

    private CompletableFuture<Context> putConfig(Context context) {
        ConfigDocument document = JsonBody.read(context.body().bytes(), ConfigDocument.class);
        List<Refusal> faults = ConfigValidator.validate(document);
        if (!faults.isEmpty()) {
            return CompletableFuture.completedFuture(
                    ResponseWriter.sendRefusal(context, RefusalMerger.merge(faults)));
        }
        return mServices
                .config()
                .put(document, document.version())
                .thenApply(result -> sendConfigStatus(context, result));
    }

    private CompletableFuture<Context> drain(Context context, boolean drained) {
        return mServices
                .cluster()
                .drain(context.path("worker").value(), drained)
                .thenApply(result -> send(context, OK, result));
    }

    private Context customers(Context context) {
        mAuthenticator.requireToken(context);
        EffectiveConfig config = Preconditions.requireConfig(mServices.configView());
        List<CustomerPolicy> policies = new ArrayList<>();
        for (String name : config.customerNames()) {
            config.policyOf(name).peek(policies::add);
        }
        return ResponseWriter.sendJson(context, OK, policies);
    }

    private Context top(Context context) {
        mAuthenticator.requireToken(context);
        return ResponseWriter.sendJson(context, OK, mServices.observer().top());
    }

    private static <T> Context send(Context context, int status, Either<Refusal, T> result) {
        return result.fold(
                refusal -> ResponseWriter.sendRefusal(context, refusal),
                value -> ResponseWriter.sendJson(context, status, value));
    }

    // 202 means that the change is durable but not in force on every live daemon yet.
    private static Context sendConfigStatus(Context context, Either<Refusal, ConfigStatus> result) {
        boolean accepted = result.map(ConfigStatus::accepted).getOrElse(false);
        return send(context, accepted ? OK : ACCEPTED, result);
    }

    private static String customerOf(Context context) {
        return context.query("customer").value("");
    }

    private static String jobId(Context context) {
        return context.path("id").value();
    }
}
