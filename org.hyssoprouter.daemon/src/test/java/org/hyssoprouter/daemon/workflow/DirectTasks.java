package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.daemon.ownership.Tasks;

/** Runs tasks at once, on the caller's thread; what is due later never runs. */
final class DirectTasks implements Tasks {
    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public void later(Runnable task, long delayMillis) {}

    @Override
    public void repeat(Runnable task, long pauseMillis) {}

    @Override
    public void stopNow() {}

    @Override
    public void stop(long withinMillis) {}
}
