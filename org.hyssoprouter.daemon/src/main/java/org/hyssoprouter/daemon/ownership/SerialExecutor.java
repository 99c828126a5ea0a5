package org.hyssoprouter.daemon.ownership;

import java.util.concurrent.Executor;

/**
 * Runs tasks one after the other.
 *
 * @since 0.1
 */
public interface SerialExecutor extends Executor {
    /** Runs a task after a delay; drops it once it was told to stop. */
    void schedule(Runnable task, long delayMillis);

    /** Runs a task now and again and again, with that time between two runs. */
    void scheduleWithFixedDelay(Runnable task, long pauseMillis);

    /** Drops what waits and interrupts what runs. */
    void shutdownNow();

    /** Finishes what is due now, drops repeated tasks, and waits for the end. */
    void shutdown(long withinMillis);
}
