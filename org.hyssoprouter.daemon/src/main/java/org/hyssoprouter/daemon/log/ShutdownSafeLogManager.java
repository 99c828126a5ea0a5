package org.hyssoprouter.daemon.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers during JVM shutdown. The default manager removes them in a
 * shutdown hook that runs in parallel to the planned stop, so the events of the stop would be lost.
 *
 * @since 0.1
 */
public final class ShutdownSafeLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers are needed until the process exits.
    }
}
