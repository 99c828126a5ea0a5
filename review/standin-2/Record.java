import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Record {
    private final PrintWriter mWriter;
    private final long mStartNanos = System.nanoTime();

    Record(Path file) throws Exception {
        mWriter = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void add(String line) {
        mWriter.printf("%9.3f %s%n", seconds(), line);
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }
}
