package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.internal.journal.GroupWriterThread;
import org.hyssoprouter.util.Service;

/** Makes the threads of the ownership service. */
interface OwnershipThreads {
    /** Returns a thread for tasks. */
    SerialExecutor newExecutor(String name);

    /** Returns the thread that steps a group writer. */
    Service newWriterThread(GroupWriter writer);

    /** Returns threads of the JVM. */
    static OwnershipThreads ofJvm() {
        return new OwnershipThreads() {
            @Override
            public SerialExecutor newExecutor(String name) {
                return new SingleThreadExecutor(name);
            }

            @Override
            public Service newWriterThread(GroupWriter writer) {
                return new GroupWriterThread(writer);
            }
        };
    }
}
