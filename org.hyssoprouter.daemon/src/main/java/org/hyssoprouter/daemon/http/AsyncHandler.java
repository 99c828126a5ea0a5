package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Route;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

/**
 * Handles a call asynchronously: the response is sent when a future completes, and no thread is
 * blocked until then.
 *
 * @since 0.1
 */
public final class AsyncHandler implements Route.Handler {
    private final Function<Context, CompletableFuture<Context>> mCall;

    /**
     * Creates a handler.
     *
     * @param call processes a call; the future completes once the response is sent
     */
    public AsyncHandler(Function<Context, CompletableFuture<Context>> call) {
        mCall = call;
    }

    @Override
    public Object apply(Context context) throws Exception {
        return context.detach(this::sendOnCompletion);
    }

    // The future is not returned, because the HTTP library would send its value as a second
    // response.
    private Object sendOnCompletion(Context context) {
        CompletableFuture<Context> unused =
                mCall.apply(context)
                        .whenComplete(
                                (sent, failure) -> {
                                    if (failure != null) {
                                        context.sendError(causeOf(failure));
                                    }
                                });
        return context;
    }

    private static Throwable causeOf(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
