package org.hyssoprouter.daemon.ownership;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;

/**
 * Serial executor with a single background thread; logs tasks that fail with an exception or an
 * error, and goes on with the next.
 *
 * @since 0.1
 */
public final class SingleThreadExecutor implements SerialExecutor {
    private static final EventLogger LOG = EventLogger.of(SingleThreadExecutor.class);

    private final String mName;
    private final ScheduledExecutorService mExecutor;

    /** Creates an executor whose thread has that name. */
    public SingleThreadExecutor(String name) {
        mName = name;
        mExecutor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    @Override
    public void execute(Runnable task) {
        schedule(task, 0);
    }

    @Override
    public void schedule(Runnable task, long delayMillis) {
        try {
            ScheduledFuture<?> unused =
                    mExecutor.schedule(logFailures(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The executor is shut down; the task is dropped.
        }
    }

    @Override
    public void scheduleWithFixedDelay(Runnable task, long delayMillis) {
        ScheduledFuture<?> unused =
                mExecutor.scheduleWithFixedDelay(
                        logFailures(task), 0, delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void shutdownNow() {
        mExecutor.shutdownNow();
    }

    @Override
    public void shutdown(long timeoutMillis) {
        mExecutor.shutdown();
        try {
            if (!mExecutor.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
                mExecutor.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Runnable logFailures(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                LOG.log(LogEvent.TASK_FAILED, e, mName, e);
            }
        };
    }
}
