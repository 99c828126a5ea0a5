package org.hyssoprouter.daemon.placement;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;

/**
 * Runs calls to the journal and the workers one at a time, in insertion order. Calls are added
 * under the shard's lock and run after it is released, by whichever thread drains the queue first.
 */
final class SerialCallQueue {
    private static final EventLogger LOGGER = EventLogger.of(SerialCallQueue.class);

    private final Queue<Runnable> mCalls = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mDrainRequests = new AtomicInteger();

    void add(Runnable call) {
        mCalls.add(call);
    }

    boolean isEmpty() {
        return mCalls.isEmpty() && mDrainRequests.get() == 0;
    }

    /** Runs the queued calls, unless another thread is draining the queue and will run them. */
    void drain() {
        if (mDrainRequests.getAndIncrement() != 0) {
            return;
        }
        int handled = 1;
        while (handled != 0) {
            runAll();
            handled = mDrainRequests.addAndGet(-handled);
        }
    }

    private void runAll() {
        Runnable call = mCalls.poll();
        while (call != null) {
            run(call);
            call = mCalls.poll();
        }
    }

    private static void run(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            // A failed call must not block the calls queued after it.
            LOGGER.log(LogEvent.TASK_FAILED, e, "placement call", e.getMessage());
        }
    }
}
