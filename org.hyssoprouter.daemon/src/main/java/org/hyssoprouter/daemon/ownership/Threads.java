package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.internal.journal.GroupWriterThread;
import org.hyssoprouter.util.Service;

/** Makes the threads of the ownership service. */
interface Threads {
    /** Returns a thread for tasks. */
    Tasks tasks(String name);

    /** Returns the thread that steps a group writer. */
    Service writer(GroupWriter writer);

    /** Returns threads of the JVM. */
    static Threads ofJvm() {
        return new Threads() {
            @Override
            public Tasks tasks(String name) {
                return new TaskThread(name);
            }

            @Override
            public Service writer(GroupWriter writer) {
                return new GroupWriterThread(writer);
            }
        };
    }
}
