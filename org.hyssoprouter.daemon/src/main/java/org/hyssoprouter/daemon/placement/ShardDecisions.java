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
final class ShardDecisions {
    private final ReentrantLock mLock = new ReentrantLock();
    private final Outbox mOutbox = new Outbox();
    private final JobScheduler mBook;
    private final Clock mClock;
    private final MonotonicClock mMonotonic;
    private final ChangeHandler mHandler;

    ShardDecisions(
            JobScheduler book, Clock clock, MonotonicClock monotonic, ChangeHandler handler) {
        mBook = book;
        mClock = clock;
        mMonotonic = monotonic;
        mHandler = handler;
    }

    /** Runs a step under the lock, then carries out what it decided. */
    <T> T decide(Supplier<T> step) {
        T result;
        mLock.lock();
        try {
            result = step.get();
            JobSchedulerOutput changes = mBook.takeOutput();
            if (!changes.isEmpty()) {
                mOutbox.add(() -> mHandler.carryOut(changes));
            }
        } finally {
            mLock.unlock();
        }
        mOutbox.drain();
        return result;
    }

    /** Runs a step without a result under the lock, then carries out what it decided. */
    void run(Runnable step) {
        decide(
                () -> {
                    step.run();
                    return Boolean.TRUE;
                });
    }

    /** Reads state under the lock. */
    <T> T read(Supplier<T> reader) {
        mLock.lock();
        try {
            return reader.get();
        } finally {
            mLock.unlock();
        }
    }

    /** Makes a call to the outside after those decided before it; called under the lock. */
    void callLater(Runnable call) {
        mOutbox.add(call);
    }

    boolean isOutboxEmpty() {
        return mOutbox.isEmpty();
    }

    long nowMillis() {
        return mMonotonic.millis();
    }

    long wallMillis() {
        return mClock.millis();
    }

    /** Carries out changes. */
    @FunctionalInterface
    interface ChangeHandler {
        /** Journals the events, then sends the actions; called without the lock. */
        void carryOut(JobSchedulerOutput changes);
    }
}
