package org.hyssoprouter.daemon.ownership;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One thread that runs tasks one after the other and logs those that fail. */
final class TaskThread implements Tasks {
    private static final System.Logger LOG = System.getLogger(TaskThread.class.getName());

    private final ScheduledExecutorService mExecutor;

    TaskThread(String name) {
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
            LOG.log(System.Logger.Level.DEBUG, "task dropped after the stop", e);
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

    private static Runnable guard(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "task failed", e);
            }
        };
    }
}
