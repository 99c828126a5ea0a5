package org.hyssoprouter.daemon.placement;

import java.time.Clock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.internal.placement.JobSchedulerOutput;
import org.hyssoprouter.util.MonotonicClock;

/**
 * The lock of a shard's placement. Each step decides under the lock; the changes that it yields go
 * to the outbox in that order and are carried out after the lock is released.
 */
final class SchedulerLock {
    private final ReentrantLock mLock = new ReentrantLock();
    private final SerialCallQueue mCallQueue = new SerialCallQueue();
    private final JobScheduler mScheduler;
    private final Clock mClock;
    private final MonotonicClock mMonotonic;
    private final OutputHandler mOutputHandler;

    SchedulerLock(JobScheduler book, Clock clock, MonotonicClock monotonic, OutputHandler handler) {
        mScheduler = book;
        mClock = clock;
        mMonotonic = monotonic;
        mOutputHandler = handler;
    }

    /** Runs a step under the lock, then carries out what it decided. */
    <T> T callLocked(Supplier<T> step) {
        T result;
        mLock.lock();
        try {
            result = step.get();
            JobSchedulerOutput changes = mScheduler.takeOutput();
            if (!changes.isEmpty()) {
                mCallQueue.add(() -> mOutputHandler.handleOutput(changes));
            }
        } finally {
            mLock.unlock();
        }
        mCallQueue.drain();
        return result;
    }

    /** Runs a step without a result under the lock, then carries out what it decided. */
    void runLocked(Runnable step) {
        callLocked(
                () -> {
                    step.run();
                    return Boolean.TRUE;
                });
    }

    /** Reads state under the lock. */
    <T> T readLocked(Supplier<T> reader) {
        mLock.lock();
        try {
            return reader.get();
        } finally {
            mLock.unlock();
        }
    }

    /** Makes a call to the outside after those decided before it; called under the lock. */
    void enqueueCall(Runnable call) {
        mCallQueue.add(call);
    }

    boolean isCallQueueEmpty() {
        return mCallQueue.isEmpty();
    }

    long nowMillis() {
        return mMonotonic.millis();
    }

    long wallMillis() {
        return mClock.millis();
    }

    /** Carries out changes. */
    @FunctionalInterface
    interface OutputHandler {
        /** Journals the events, then sends the actions; called without the lock. */
        void handleOutput(JobSchedulerOutput changes);
    }
}
