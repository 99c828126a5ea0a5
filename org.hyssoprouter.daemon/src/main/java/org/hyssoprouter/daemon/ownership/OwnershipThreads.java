package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.internal.journal.GroupWriterThread;
import org.hyssoprouter.util.Service;

/** Creates the threads of the ownership service; tests replace them by simulated ones. */
interface OwnershipThreads {
    /** Creates an executor whose thread has that name. */
    SerialExecutor newExecutor(String name);

    /** Creates the thread that runs the steps of a group writer. */
    Service newWriterThread(GroupWriter writer);

    /** Returns a factory of JVM threads. */
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
