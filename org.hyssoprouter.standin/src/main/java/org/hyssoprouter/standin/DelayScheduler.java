package org.hyssoprouter.standin;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Schedules delayed work on event loops without blocking a thread.
 *
 * @since 0.1
 */
public final class DelayScheduler {
    private final EventLoopGroup mEventLoops;

    /** Creates a scheduler on {@code group}. */
    public DelayScheduler(EventLoopGroup group) {
        mEventLoops = group;
    }

    /** Runs {@code work} after {@code delayMillis}, or immediately on this thread if that is 0. */
    public <T> CompletableFuture<T> supplyAfter(
            long delayMillis, Supplier<CompletableFuture<T>> work) {
        if (delayMillis <= 0) {
            return work.get();
        }
        return CompletableFuture.runAsync(() -> {}, task -> schedule(delayMillis, task))
                .thenCompose(ignored -> work.get());
    }

    /** Returns a future that completes with {@code value} after {@code delayMillis}. */
    public <T> CompletableFuture<T> completeAfter(long delayMillis, T value) {
        return supplyAfter(delayMillis, () -> CompletableFuture.completedFuture(value));
    }

    /** Runs {@code task} after {@code delayMillis}. */
    @SuppressWarnings("FutureReturnValueIgnored")
    public void schedule(long delayMillis, Runnable task) {
        mEventLoops.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }
}
