package org.hyssoprouter.internal.workflow;

import java.util.Collection;

/**
 * Tracks the reads of the worker list, to tell a worker that has crashed from one that has left as
 * planned. A worker announces in its entry that it will leave; an owner that has not read the list
 * meanwhile may have missed this.
 */
final class WorkerListReads {
    /**
     * Time between two reads in which no worker can have announced that it will leave, and have
     * left.
     */
    static final long MAX_GAP_MILLIS = 2_000;

    private static final long NEVER = -1;

    private long mLastReadMillis = NEVER;

    /** Records that a read has finished, after which exactly these workers are listed. */
    void recordRead(Iterable<PoolWorker> workers, Collection<String> ids, long nowMillis) {
        boolean gap = !isRecent(nowMillis);
        for (PoolWorker worker : workers) {
            worker.mListed &= ids.contains(worker.mId);
            worker.mLastEntryKnown &= worker.mListed || !gap;
        }
        mLastReadMillis = nowMillis;
    }

    /** Returns whether a worker has certainly not announced that it will leave. */
    boolean hasNotLeft(PoolWorker worker, long nowMillis) {
        return worker.mLastEntryKnown && !worker.entry().draining() && isRecent(nowMillis);
    }

    /** Returns the age of the last read, for the log. */
    String describeAge(long nowMillis) {
        return mLastReadMillis == NEVER
                ? "list not read"
                : "list read %d ms ago".formatted(nowMillis - mLastReadMillis);
    }

    private boolean isRecent(long nowMillis) {
        return mLastReadMillis != NEVER && nowMillis - mLastReadMillis <= MAX_GAP_MILLIS;
    }
}
