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

/** Routes of operators; all need the operators' token. */
final class OperatorRoutes {
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ACCEPTED = 202;

    private final ApiServices mServices;
    private final OperatorToken mToken;

    OperatorRoutes(ApiOptions options, ApiServices services) {
        mServices = services;
        mToken = new OperatorToken(options.operatorToken());
    }

    void install(Jooby app) {
        installJobs(app);
        installConfig(app);
        installCluster(app);
    }

    private void installJobs(Jooby app) {
        JobService jobs = mServices.jobs();
        app.post("/v1/jobs", changing(this::submit));
        app.get("/v1/jobs", reading(c -> jobs.list(customerOf(c))));
        app.get("/v1/jobs/{id}", reading(c -> jobs.view(id(c))));
        app.get("/v1/jobs/{id}/explain", reading(c -> jobs.explain(id(c))));
        app.delete("/v1/jobs/{id}", changing(this::cancel));
    }

    private void installConfig(Jooby app) {
        ConfigService config = mServices.config();
        app.get("/v1/config", reading(c -> config.current()));
        app.get("/v1/config/history", reading(c -> config.history()));
        app.get("/v1/config/status", reading(c -> config.status()));
        app.put("/v1/config", changing(this::putConfig));
    }

    private void installCluster(Jooby app) {
        ClusterService cluster = mServices.cluster();
        app.get("/v1/shards", reading(c -> cluster.shards()));
        app.get("/v1/hosts", reading(c -> cluster.hosts()));
        app.post("/v1/hosts/{worker}/drain", changing(c -> drain(c, true)));
        app.delete("/v1/hosts/{worker}/drain", changing(c -> drain(c, false)));
        app.get("/v1/customers", this::customers);
        app.get("/v1/top", this::top);
    }

    private <T> AsyncHandler reading(
            Function<Context, CompletableFuture<Either<Refusal, T>>> call) {
        return new AsyncHandler(
                context -> {
                    mToken.require(context);
                    return call.apply(context).thenApply(result -> send(context, OK, result));
                });
    }

    private AsyncHandler changing(Function<Context, CompletableFuture<Context>> call) {
        return new AsyncHandler(
                context -> {
                    mToken.require(context);
                    Gate.requireServing(mServices.readiness());
                    return call.apply(context);
                });
    }

    private CompletableFuture<Context> submit(Context context) {
        JobSpec spec = JsonBody.read(context.body().bytes(), JobSpec.class);
        JobSpecCheck.fault(spec)
                .peek(
                        fault -> {
                            throw new RefusalException(fault);
                        });
        if (Gate.requireConfig(mServices.configView()).policyOf(spec.customer()).isEmpty()) {
            String message = "customer: there is no customer " + spec.customer();
            throw new RefusalException(
                    new Refusal(RefusalCode.NOT_FOUND, Verdict.NOT_RUN, message, "customer", 0));
        }
        return mServices.jobs().submit(spec).thenApply(result -> send(context, CREATED, result));
    }

    private CompletableFuture<Context> cancel(Context context) {
        return mServices
                .jobs()
                .cancel(id(context))
                .thenApply(result -> send(context, ACCEPTED, result));
    }

    private CompletableFuture<Context> putConfig(Context context) {
        ConfigDocument document = JsonBody.read(context.body().bytes(), ConfigDocument.class);
        List<Refusal> faults = ConfigValidator.validate(document);
        if (!faults.isEmpty()) {
            return CompletableFuture.completedFuture(
                    Answers.refusal(context, FaultList.joined(faults)));
        }
        return mServices
                .config()
                .put(document, document.version())
                .thenApply(result -> sendStatus(context, result));
    }

    private CompletableFuture<Context> drain(Context context, boolean drained) {
        return mServices
                .cluster()
                .drain(context.path("worker").value(), drained)
                .thenApply(result -> send(context, OK, result));
    }

    private Context customers(Context context) {
        mToken.require(context);
        EffectiveConfig config = Gate.requireConfig(mServices.configView());
        List<CustomerPolicy> policies = new ArrayList<>();
        for (String name : config.customerNames()) {
            config.policyOf(name).peek(policies::add);
        }
        return Answers.json(context, OK, policies);
    }

    private Context top(Context context) {
        mToken.require(context);
        return Answers.json(context, OK, mServices.observer().top());
    }

    private static <T> Context send(Context context, int status, Either<Refusal, T> result) {
        return result.fold(
                refusal -> Answers.refusal(context, refusal),
                value -> Answers.json(context, status, value));
    }

    // 202 says that the change is durable but not in force on every live daemon yet.
    private static Context sendStatus(Context context, Either<Refusal, ConfigStatus> result) {
        boolean accepted = result.map(ConfigStatus::accepted).getOrElse(false);
        return send(context, accepted ? OK : ACCEPTED, result);
    }

    private static String customerOf(Context context) {
        return context.query("customer").value("");
    }

    private static String id(Context context) {
        return context.path("id").value();
    }
}
