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
public final class Delays {
    private final EventLoopGroup mGroup;

    /** Creates delays on {@code group}. */
    public Delays(EventLoopGroup group) {
        mGroup = group;
    }

    /** Runs {@code work} after {@code delayMillis}; at once, on this thread, when that is 0. */
    public <T> CompletableFuture<T> after(long delayMillis, Supplier<CompletableFuture<T>> work) {
        if (delayMillis <= 0) {
            return work.get();
        }
        return CompletableFuture.runAsync(() -> {}, task -> run(delayMillis, task))
                .thenCompose(ignored -> work.get());
    }

    /** Completes with {@code value} after {@code delayMillis}. */
    public <T> CompletableFuture<T> later(long delayMillis, T value) {
        return after(delayMillis, () -> CompletableFuture.completedFuture(value));
    }

    /** Runs {@code task} after {@code delayMillis}. */
    @SuppressWarnings("FutureReturnValueIgnored")
    public void run(long delayMillis, Runnable task) {
        mGroup.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }
}
