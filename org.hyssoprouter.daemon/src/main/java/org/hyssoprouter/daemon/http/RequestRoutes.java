package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Jooby;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/** Installs the route for callers' requests. */
final class RequestRoutes {
    private final ApiOptions mOptions;
    private final ApiServices mServices;
    private final AtomicLong mNextRequest = new AtomicLong();

    RequestRoutes(ApiOptions options, ApiServices services) {
        mOptions = options;
        mServices = services;
    }

    void install(Jooby app) {
        app.post("/v1/requests/{service}", new AsyncHandler(this::handleRequest));
    }

    private CompletableFuture<Context> handleRequest(Context context) {
        Preconditions.requireServing(mServices.readiness());
        RequestOrder order =
                RequestHeaders.parseOrder(context, nextRequestId(), requirePolicy(context));
        long startNanos = System.nanoTime();
        return mServices
                .requests()
                .route(order)
                .thenApply(reply -> sendReply(context, order, reply, startNanos));
    }

    private Context sendReply(
            Context context, RequestOrder order, RequestReply reply, long startNanos) {
        mServices.observer().recordReply(order, reply, System.nanoTime() - startNanos);
        return ResponseWriter.sendReply(context, reply);
    }

    private CustomerPolicy requirePolicy(Context context) {
        String name = RequestHeaders.header(context, RequestHeaders.CUSTOMER);
        if (name == null) {
            throw new RefusalException(
                    Refusal.invalidField(
                            RequestHeaders.CUSTOMER, "expected the name of a customer"));
        }
        EffectiveConfig config = Preconditions.requireConfig(mServices.configView());
        return config.policyOf(name)
                .getOrElseThrow(() -> new RefusalException(unknownCustomer(name)));
    }

    private static Refusal unknownCustomer(String name) {
        return new Refusal(
                RefusalCode.NOT_FOUND,
                Verdict.NOT_RUN,
                RequestHeaders.CUSTOMER + ": no customer named " + name,
                RequestHeaders.CUSTOMER,
                0);
    }

    private String nextRequestId() {
        return mOptions.requestIdPrefix() + "-" + mNextRequest.incrementAndGet();
    }
}
