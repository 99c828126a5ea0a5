package org.hyssoprouter.daemon.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Configures logging to standard output, one line per event.
 *
 * @since 0.1
 */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";

    private LogSetup() {}

    /** Replaces the handlers of the root logger; must be called once, before anything is logged. */
    public static void install() {
        System.setProperty(MANAGER_PROPERTY, ShutdownSafeLogManager.class.getName());
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.setLevel(Level.INFO);
        root.addHandler(new AsyncLogHandler(System.out, new LineFormatter()));
    }

    /** Waits up to the flush timeout until queued lines are written; called before exit. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }
}
