package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.daemon.ownership.SerialExecutor;

/** Runs tasks immediately on the caller's thread; drops delayed and repeated ones. */
class DirectExecutor implements SerialExecutor {
    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public void schedule(Runnable task, long delayMillis) {}

    @Override
    public void scheduleWithFixedDelay(Runnable task, long pauseMillis) {}

    @Override
    public void shutdownNow() {}

    @Override
    public void shutdown(long withinMillis) {}
}
