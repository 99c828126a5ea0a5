package org.hyssoprouter.daemon.workflow;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Records the lines that a class logs until it is closed. */
final class RecordedLog extends Handler {
    private final Logger mLogger;
    private final List<String> mLines = new CopyOnWriteArrayList<>();

    RecordedLog(Class<?> owner) {
        mLogger = Logger.getLogger(owner.getName());
        mLogger.addHandler(this);
    }

    /** Returns the lines of an event in their order. */
    List<String> linesOf(int event) {
        return mLines.stream().filter(it -> it.startsWith("E" + event + " ")).toList();
    }

    /** Returns the last line of an event. */
    String lastOf(int event) {
        List<String> lines = linesOf(event);
        return lines.get(lines.size() - 1);
    }

    @Override
    public void publish(LogRecord line) {
        mLines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        mLogger.removeHandler(this);
    }
}
