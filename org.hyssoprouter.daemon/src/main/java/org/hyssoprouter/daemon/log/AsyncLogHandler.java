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
 * Log handler that writes lines on its own thread, so that logging never blocks the caller. When
 * the queue is full, lines are dropped; their number is written after the next batch.
 */
final class AsyncLogHandler extends Handler {
    /** Capacity of the queue in lines; holds a few seconds of the highest load. */
    static final int QUEUE_CAPACITY = 4_096;

    private static final long FLUSH_TIMEOUT_MILLIS = 500;
    private static final long FLUSH_POLL_MILLIS = 5;

    private final PrintStream mOut;
    private final BlockingQueue<String> mQueue;
    private final AtomicLong mPendingCount = new AtomicLong();
    private final AtomicLong mDroppedCount = new AtomicLong();

    AsyncLogHandler(PrintStream out, Formatter formatter) {
        this(out, formatter, QUEUE_CAPACITY);
    }

    AsyncLogHandler(PrintStream out, Formatter formatter, int capacity) {
        mOut = out;
        mQueue = new ArrayBlockingQueue<>(capacity);
        setFormatter(formatter);
        Thread thread = new Thread(this::writeLines, "log-writer");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        mPendingCount.incrementAndGet();
        if (!mQueue.offer(getFormatter().format(record))) {
            mPendingCount.decrementAndGet();
            mDroppedCount.incrementAndGet();
        }
    }

    private void writeLines() {
        List<String> batch = new ArrayList<>();
        try {
            while (true) {
                batch.add(mQueue.take());
                mQueue.drainTo(batch);
                mOut.print(String.join("", batch));
                long dropped = mDroppedCount.getAndSet(0);
                if (dropped > 0) {
                    mOut.println("dropped " + dropped + " log lines: the log queue was full");
                }
                mOut.flush();
                mPendingCount.addAndGet(-batch.size());
                batch.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all queued lines are written, at most {@link #FLUSH_TIMEOUT_MILLIS}. */
    @Override
    public void flush() {
        try {
            for (long remainingMillis = FLUSH_TIMEOUT_MILLIS;
                    remainingMillis > 0 && mPendingCount.get() > 0; ) {
                TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
                remainingMillis -= FLUSH_POLL_MILLIS;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Flushes only; the handler stays open because a planned stop logs until the process exits. */
    @Override
    public void close() {
        flush();
    }
}
