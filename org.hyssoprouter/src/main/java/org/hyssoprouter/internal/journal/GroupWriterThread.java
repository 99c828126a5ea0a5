package org.hyssoprouter.internal.journal;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.util.Service;

/**
 * Runs a {@link GroupWriter} on a dedicated thread.
 *
 * @since 0.1
 */
public final class GroupWriterThread implements Service {
    private static final System.Logger LOG = System.getLogger(GroupWriterThread.class.getName());
    private static final long JOIN_MILLIS = 2000;

    private final GroupWriter mWriter;
    private final Semaphore mSignals = new Semaphore(0);
    private final Thread mThread = new Thread(this::run, "group-writer");
    private volatile boolean mStopped;

    /** Creates the thread; {@link #start} starts it. */
    public GroupWriterThread(GroupWriter writer) {
        mWriter = writer;
        writer.setSignalListener(mSignals::release);
        mThread.setDaemon(true);
    }

    @Override
    public void start() {
        mThread.start();
    }

    @Override
    public void stop() {
        mStopped = true;
        mSignals.release();
        try {
            mThread.join(JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!mStopped) {
            long waitMillis = step();
            awaitSignal(waitMillis);
        }
    }

    private long step() {
        try {
            return mWriter.step();
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "group writer step failed", e);
            return JOIN_MILLIS;
        }
    }

    private void awaitSignal(long waitMillis) {
        if (waitMillis <= 0) {
            return;
        }
        try {
            if (mSignals.tryAcquire(waitMillis, TimeUnit.MILLISECONDS)) {
                mSignals.drainPermits();
            }
        } catch (InterruptedException e) {
            mStopped = true;
        }
    }
}
