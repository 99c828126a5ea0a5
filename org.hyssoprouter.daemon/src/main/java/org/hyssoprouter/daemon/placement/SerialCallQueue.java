package org.hyssoprouter.daemon.placement;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;

/**
 * Calls to the outside, made one after the other in the order in which they were decided. Steps are
 * added under the shard's lock and run after it is released, by whichever thread drains first.
 */
final class SerialCallQueue {
    private static final EventLogger LOGGER = EventLogger.of(SerialCallQueue.class);

    private final Queue<Runnable> mCalls = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mDrainRequests = new AtomicInteger();

    void add(Runnable step) {
        mCalls.add(step);
    }

    boolean isEmpty() {
        return mCalls.isEmpty() && mDrainRequests.get() == 0;
    }

    /** Runs what was added, unless another thread does so already and will see it. */
    void drain() {
        if (mDrainRequests.getAndIncrement() != 0) {
            return;
        }
        int seen = 1;
        while (seen != 0) {
            runAll();
            seen = mDrainRequests.addAndGet(-seen);
        }
    }

    private void runAll() {
        Runnable step = mCalls.poll();
        while (step != null) {
            run(step);
            step = mCalls.poll();
        }
    }

    private static void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            // One failed call must not keep back the calls behind it.
            LOGGER.log(LogEvent.TASK_FAILED, e, "outbox of placement", e.getMessage());
        }
    }
}
