package org.hyssoprouter.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LogEventTest {
    private static final Path EVENTS_PAGE = Path.of("..", "docs", "EVENTS.md");

    @Test
    void documentationListsExactlyTheEventsOfTheCode() throws IOException {
        List<String> expected = new ArrayList<>();
        for (LogEvent event : LogEvent.values()) {
            expected.add(
                    String.format(
                            "| E%d | %s | %s | %s |",
                            event.number(),
                            event.level(),
                            event.text(),
                            String.join(", ", event.fields())));
        }
        List<String> documented = new ArrayList<>();
        for (String line : Files.readAllLines(EVENTS_PAGE)) {
            if (line.startsWith("| E")) {
                documented.add(String.join("|", Arrays.copyOf(line.split("\\|"), 5)) + "|");
            }
        }
        assertEquals(expected, documented);
    }

    @Test
    void numbersAreUnique() {
        long distinct = Arrays.stream(LogEvent.values()).map(LogEvent::number).distinct().count();
        assertEquals(LogEvent.values().length, distinct);
    }

    @Test
    void quotesAndEscapesSpecialCharacters() {
        assertEquals(
                "E2002 \"no longer owns shard\" shard=a/1 epoch=4 reason=\"x=\\\"1\\n2\\\"\"",
                EventLogger.format(LogEvent.SHARD_LOST, "a/1", 4, "x=\"1\n2\""));
    }

    @Test
    void formatterWritesStackTraceOnTheSameLine() {
        LogRecord record = new LogRecord(Level.INFO, "hello");
        record.setLoggerName("a.b.C");
        record.setThrown(new IllegalStateException("x"));
        String line = new LineFormatter().format(record);
        assertEquals(1, line.lines().count());
    }
}
