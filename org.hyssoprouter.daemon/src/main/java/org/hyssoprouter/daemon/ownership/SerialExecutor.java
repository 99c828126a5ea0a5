package org.hyssoprouter.daemon.ownership;

import java.util.concurrent.Executor;

/**
 * Executor that runs one task at a time, in the order in which they are due.
 *
 * @since 0.1
 */
public interface SerialExecutor extends Executor {
    /** Runs a task after a delay; drops it if the executor is shut down. */
    void schedule(Runnable task, long delayMillis);

    /** Runs a task repeatedly, first now, with that delay from the end of a run to the next. */
    void scheduleWithFixedDelay(Runnable task, long delayMillis);

    /** Drops queued tasks and interrupts the running one. */
    void shutdownNow();

    /**
     * Shuts down: runs the tasks that are due, drops repeated ones, and waits up to the timeout for
     * the running ones to end.
     */
    void shutdown(long timeoutMillis);
}
