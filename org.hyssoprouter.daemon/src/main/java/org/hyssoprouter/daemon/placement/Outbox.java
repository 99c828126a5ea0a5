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
final class Outbox {
    private static final EventLogger LOGGER = EventLogger.of(Outbox.class);

    private final Queue<Runnable> mSteps = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mDrains = new AtomicInteger();

    void add(Runnable step) {
        mSteps.add(step);
    }

    boolean isEmpty() {
        return mSteps.isEmpty() && mDrains.get() == 0;
    }

    /** Runs what was added, unless another thread does so already and will see it. */
    void drain() {
        if (mDrains.getAndIncrement() != 0) {
            return;
        }
        int seen = 1;
        while (seen != 0) {
            runAll();
            seen = mDrains.addAndGet(-seen);
        }
    }

    private void runAll() {
        Runnable step = mSteps.poll();
        while (step != null) {
            run(step);
            step = mSteps.poll();
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
