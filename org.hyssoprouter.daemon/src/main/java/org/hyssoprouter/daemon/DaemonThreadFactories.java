package org.hyssoprouter.daemon;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates factories of daemon threads named after their use, for readable thread dumps. */
final class DaemonThreadFactories {
    private DaemonThreadFactories() {}

    static ThreadFactory named(String use) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, use + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
