package org.hyssoprouter.daemon.ownership;

import java.util.concurrent.Executor;

/**
 * Runs tasks one after the other.
 *
 * @since 0.1
 */
public interface Tasks extends Executor {
    /** Runs a task after a delay; drops it once it was told to stop. */
    void later(Runnable task, long delayMillis);

    /** Runs a task now and again and again, with that time between two runs. */
    void repeat(Runnable task, long pauseMillis);

    /** Drops what waits and interrupts what runs. */
    void stopNow();

    /** Finishes what is due now, drops repeated tasks, and waits for the end. */
    void stop(long withinMillis);
}
