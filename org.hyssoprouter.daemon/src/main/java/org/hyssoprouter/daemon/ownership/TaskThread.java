package org.hyssoprouter.daemon.ownership;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;

/**
 * One thread that runs tasks one after the other and logs those that fail.
 *
 * @since 0.1
 */
public final class TaskThread implements Tasks {
    private static final EventLogger LOG = EventLogger.of(TaskThread.class);

    private final String mName;
    private final ScheduledExecutorService mExecutor;

    /** Starts a thread of that name. */
    public TaskThread(String name) {
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
        later(task, 0);
    }

    @Override
    public void later(Runnable task, long delayMillis) {
        try {
            ScheduledFuture<?> unused =
                    mExecutor.schedule(guard(task), delayMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // It was told to stop, which is why the task is dropped.
        }
    }

    @Override
    public void repeat(Runnable task, long pauseMillis) {
        ScheduledFuture<?> unused =
                mExecutor.scheduleWithFixedDelay(
                        guard(task), 0, pauseMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stopNow() {
        mExecutor.shutdownNow();
    }

    @Override
    public void stop(long withinMillis) {
        mExecutor.shutdown();
        try {
            if (!mExecutor.awaitTermination(withinMillis, TimeUnit.MILLISECONDS)) {
                mExecutor.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Runnable guard(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.log(LogEvent.TASK_FAILED, e, mName, e);
            }
        };
    }
}
