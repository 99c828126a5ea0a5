package org.hyssoprouter.daemon.placement;

import java.time.Clock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.internal.placement.JobSchedulerOutput;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Guards the job scheduler of a shard. Operations run under the lock; their scheduler output is
 * queued in the order of the operations and handled after the lock is released.
 */
final class SchedulerLock {
    private final ReentrantLock mLock = new ReentrantLock();
    private final SerialCallQueue mCallQueue = new SerialCallQueue();
    private final JobScheduler mScheduler;
    private final Clock mClock;
    private final MonotonicClock mMonotonic;
    private final OutputHandler mOutputHandler;

    SchedulerLock(
            JobScheduler scheduler,
            Clock clock,
            MonotonicClock monotonic,
            OutputHandler outputHandler) {
        mScheduler = scheduler;
        mClock = clock;
        mMonotonic = monotonic;
        mOutputHandler = outputHandler;
    }

    /** Runs an operation under the lock, then handles the scheduler output that it produced. */
    <T> T callLocked(Supplier<T> operation) {
        T result;
        mLock.lock();
        try {
            result = operation.get();
            JobSchedulerOutput output = mScheduler.takeOutput();
            if (!output.isEmpty()) {
                mCallQueue.add(() -> mOutputHandler.handleOutput(output));
            }
        } finally {
            mLock.unlock();
        }
        mCallQueue.drain();
        return result;
    }

    /** Runs an operation without a result like {@link #callLocked}. */
    void runLocked(Runnable operation) {
        callLocked(
                () -> {
                    operation.run();
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

    /**
     * Queues a call to the journal or to a worker behind those already queued. The caller holds the
     * lock.
     */
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

    /** Carries out the output of the scheduler. */
    @FunctionalInterface
    interface OutputHandler {
        /** Journals the events, then sends the actions to the workers; called without the lock. */
        void handleOutput(JobSchedulerOutput output);
    }
}
