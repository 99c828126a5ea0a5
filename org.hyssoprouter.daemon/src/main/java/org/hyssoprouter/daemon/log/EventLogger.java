package org.hyssoprouter.daemon.log;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Logs numbered events, one line per event: {@code E2001 "owns shard" shard=south-a epoch=4}.
 *
 * @since 0.1
 */
public final class EventLogger {
    private final System.Logger mLogger;

    private EventLogger(System.Logger logger) {
        mLogger = logger;
    }

    /** Returns the logger for a class. */
    public static EventLogger of(Class<?> owner) {
        return new EventLogger(System.getLogger(owner.getName()));
    }

    /**
     * Logs an event.
     *
     * @param event event
     * @param values a value for each of its fields, in order
     */
    public void log(LogEvent event, @Nullable Object... values) {
        if (mLogger.isLoggable(event.level())) {
            mLogger.log(event.level(), format(event, values));
        }
    }

    /**
     * Logs an event with the stack trace of its cause.
     *
     * @param event event
     * @param cause cause
     * @param values a value for each of its fields, in order
     */
    public void log(LogEvent event, Throwable cause, @Nullable Object... values) {
        if (mLogger.isLoggable(event.level())) {
            mLogger.log(event.level(), format(event, values), cause);
        }
    }

    /** Returns the text of an event; surplus values are ignored, missing ones are null. */
    static String format(LogEvent event, @Nullable Object... values) {
        StringBuilder line = new StringBuilder();
        line.append('E').append(event.number()).append(" \"").append(event.text()).append('"');
        List<String> fields = event.fields();
        for (int i = 0; i < fields.size(); i++) {
            Object value = i < values.length ? values[i] : null;
            line.append(' ').append(fields.get(i)).append('=').append(quoted(value));
        }
        return line.toString();
    }

    private static String quoted(@Nullable Object value) {
        String text = String.valueOf(value);
        if (!text.isEmpty() && text.chars().allMatch(EventLogger::isPlain)) {
            return text;
        }
        String escaped = text.replace("\\", "\\\\").replace("\"", "\\\"");
        return '"' + escaped.replace("\r", "\\r").replace("\n", "\\n") + '"';
    }

    private static boolean isPlain(int c) {
        return c > ' ' && c != '"' && c != '\\' && c != '=';
    }
}
