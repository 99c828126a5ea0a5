package org.hyssoprouter.daemon.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as a single line: instant in UTC, level, class, message.
 *
 * @since 0.1
 */
public final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder();
        line.append(record.getInstant()).append(' ');
        line.append(record.getLevel().getName()).append(' ');
        line.append(simpleName(record.getLoggerName())).append(' ');
        line.append(formatMessage(record).replace('\n', ' '));
        if (record.getThrown() != null) {
            line.append(" trace=\"").append(stackTrace(record.getThrown())).append('"');
        }
        return line.append(System.lineSeparator()).toString();
    }

    private static String simpleName(String loggerName) {
        return loggerName == null ? "-" : loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }

    // The stack trace goes on the line of its event, so that log collectors keep them together.
    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text, true));
        return text.toString()
                .strip()
                .replace("\t", "")
                .replaceAll("\\R", " | ")
                .replace('"', '\'');
    }
}
