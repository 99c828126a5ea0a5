package org.hyssoprouter.daemon.log;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class AsyncLogHandlerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @Test
    void writesLinesInOrder() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        AsyncLogHandler handler = new AsyncLogHandler(new PrintStream(bytes), new LineFormatter());
        handler.publish(new LogRecord(Level.INFO, "one"));
        handler.publish(new LogRecord(Level.INFO, "two"));
        await().atMost(TIMEOUT).until(() -> text(bytes).contains("two"));
        assertTrue(text(bytes).indexOf("one") < text(bytes).indexOf("two"));
    }

    @Test
    void publishDoesNotBlockAndDroppedLinesAreCounted() {
        CountDownLatch release = new CountDownLatch(1);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        OutputStream blockedStream =
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        awaitRelease(release);
                        bytes.write(b);
                    }
                };
        AsyncLogHandler handler =
                new AsyncLogHandler(new PrintStream(blockedStream), new LineFormatter(), 8);
        for (int i = 0; i < 1_000; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        release.countDown();
        await().atMost(TIMEOUT).until(() -> text(bytes).contains("dropped 9"));
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
