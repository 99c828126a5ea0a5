package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of a case: what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mOut;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    synchronized void add(String format, Object... values) {
        String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
        mOut.printf(Locale.ROOT, "%9.3f  %s%n", seconds(), text);
        mOut.flush();
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
