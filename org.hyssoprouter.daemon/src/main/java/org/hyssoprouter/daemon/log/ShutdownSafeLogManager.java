package org.hyssoprouter.daemon.log;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers when the process is told to stop. The default one removes
 * them at once, in parallel to the planned stop, whose events would be lost.
 *
 * @since 0.1
 */
public final class ShutdownSafeLogManager extends LogManager {
    @Override
    public void reset() {
        // Handlers stay until the process ends.
    }
}
