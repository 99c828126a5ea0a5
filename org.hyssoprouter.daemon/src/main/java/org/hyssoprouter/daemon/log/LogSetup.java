package org.hyssoprouter.daemon.log;

import java.io.PrintStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Sends the log to standard output, one line an event.
 *
 * @since 0.1
 */
public final class LogSetup {
    private static final String MANAGER_PROPERTY = "java.util.logging.manager";

    private LogSetup() {}

    /** Replaces the root logger's handlers; called once before anything is logged. */
    public static void install() {
        System.setProperty(MANAGER_PROPERTY, LastingLogManager.class.getName());
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.setLevel(Level.INFO);
        root.addHandler(new StreamLines(System.out));
    }

    /** Writes each record at once. Closing has no effect: a planned stop logs until the exit. */
    private static final class StreamLines extends Handler {
        private final PrintStream mOut;

        StreamLines(PrintStream out) {
            mOut = out;
            setFormatter(new LineFormatter());
        }

        @Override
        public void publish(LogRecord record) {
            if (isLoggable(record)) {
                mOut.print(getFormatter().format(record));
                mOut.flush();
            }
        }

        @Override
        public void flush() {
            mOut.flush();
        }

        @Override
        public void close() {
            mOut.flush();
        }
    }
}
