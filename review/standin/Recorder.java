import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the milliseconds since the start. */
final class Recorder {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mOut;

    Recorder(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void log(String text) {
        mOut.printf("%7d %s%n", millis(), text);
        mOut.flush();
    }

    /** Also printed. */
    void say(String text) {
        log(text);
        System.out.println(text);
    }
}
