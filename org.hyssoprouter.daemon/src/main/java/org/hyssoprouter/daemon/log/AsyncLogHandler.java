package org.hyssoprouter.daemon.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own. Who logs never waits: when the queue is full, lines are
 * dropped and their number is written once there is room again.
 */
final class AsyncLogHandler extends Handler {
    /** Lines that wait at most; some seconds of the busiest load. */
    static final int MAX_LINES = 4_096;

    private static final long FLUSH_MILLIS = 500;
    private static final long FLUSH_STEP_MILLIS = 5;

    private final PrintStream mOut;
    private final BlockingQueue<String> mLines;
    private final AtomicLong mPending = new AtomicLong();
    private final AtomicLong mDropped = new AtomicLong();

    AsyncLogHandler(PrintStream out, Formatter formatter) {
        this(out, formatter, MAX_LINES);
    }

    AsyncLogHandler(PrintStream out, Formatter formatter, int maxLines) {
        mOut = out;
        mLines = new ArrayBlockingQueue<>(maxLines);
        setFormatter(formatter);
        Thread thread = new Thread(this::write, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        mPending.incrementAndGet();
        if (!mLines.offer(getFormatter().format(record))) {
            mPending.decrementAndGet();
            mDropped.incrementAndGet();
        }
    }

    private void write() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(mLines.take());
                mLines.drainTo(batch);
                mOut.print(String.join("", batch));
                long dropped = mDropped.getAndSet(0);
                if (dropped > 0) {
                    mOut.println("dropped " + dropped + " log lines: the writer was behind");
                }
                mOut.flush();
                mPending.addAndGet(-batch.size());
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits a bounded time until all lines are written. */
    @Override
    public void flush() {
        try {
            for (long left = FLUSH_MILLIS; left > 0 && mPending.get() > 0; ) {
                TimeUnit.MILLISECONDS.sleep(FLUSH_STEP_MILLIS);
                left -= FLUSH_STEP_MILLIS;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Has no effect: a planned stop logs until the exit. */
    @Override
    public void close() {
        flush();
    }
}
