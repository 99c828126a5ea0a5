package org.hyssoprouter.standin.platform;

import java.util.concurrent.atomic.LongAdder;

/** Counts the operations on the table and the object store since the start. */
final class PlatformCounters {
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mRowsRead = new LongAdder();
    private final LongAdder mCommits = new LongAdder();
    private final LongAdder mConflicts = new LongAdder();
    private final LongAdder mRowsWritten = new LongAdder();
    private final LongAdder mObjectReads = new LongAdder();
    private final LongAdder mObjectWrites = new LongAdder();

    void addRead(int rowCount) {
        mReads.increment();
        mRowsRead.add(rowCount);
    }

    void addCommit(int rowCount) {
        mCommits.increment();
        mRowsWritten.add(rowCount);
    }

    void addConflict() {
        mConflicts.increment();
    }

    void addObjectRead() {
        mObjectReads.increment();
    }

    void addObjectWrite() {
        mObjectWrites.increment();
    }

    PlatformStats stats() {
        return new PlatformStats(
                mReads.sum(),
                mRowsRead.sum(),
                mCommits.sum(),
                mConflicts.sum(),
                mRowsWritten.sum(),
                mObjectReads.sum(),
                mObjectWrites.sum());
    }
}
