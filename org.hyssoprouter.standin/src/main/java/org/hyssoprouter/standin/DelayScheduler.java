package org.hyssoprouter.standin;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Defers work on the event loops without holding a thread.
 *
 * @since 0.1
 */
public final class DelayScheduler {
    private final EventLoopGroup mEventLoops;

    /** Creates delays on {@code group}. */
    public DelayScheduler(EventLoopGroup group) {
        mEventLoops = group;
    }

    /** Runs {@code work} after {@code delayMillis}; at once, on this thread, when that is 0. */
    public <T> CompletableFuture<T> supplyAfter(
            long delayMillis, Supplier<CompletableFuture<T>> work) {
        if (delayMillis <= 0) {
            return work.get();
        }
        return CompletableFuture.runAsync(() -> {}, task -> schedule(delayMillis, task))
                .thenCompose(ignored -> work.get());
    }

    /** Completes with {@code value} after {@code delayMillis}. */
    public <T> CompletableFuture<T> completeAfter(long delayMillis, T value) {
        return supplyAfter(delayMillis, () -> CompletableFuture.completedFuture(value));
    }

    /** Runs {@code task} after {@code delayMillis}. */
    @SuppressWarnings("FutureReturnValueIgnored")
    public void schedule(long delayMillis, Runnable task) {
        mEventLoops.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }
}
