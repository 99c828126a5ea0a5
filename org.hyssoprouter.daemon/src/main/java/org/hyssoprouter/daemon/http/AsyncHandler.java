package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Route;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Handler that answers when its future completes and holds no thread until then. */
final class AsyncHandler implements Route.Handler {
    private final Function<Context, CompletableFuture<Context>> mCall;

    AsyncHandler(Function<Context, CompletableFuture<Context>> call) {
        mCall = call;
    }

    // The server library subscribes to a future that a handler returns, its failure included.
    @Override
    @SuppressWarnings("FutureReturnValueIgnored")
    public Object apply(Context context) {
        return mCall.apply(context);
    }
}
