package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.workflow.WorkerEntry;

/**
 * Detects which workers have ended, by the worker list in the table store. A worker that stopped
 * sending heartbeats may still be running, and its entry is removed after three heartbeat
 * intervals; an entry of a draining worker that is removed earlier was removed because the worker
 * has ended.
 */
final class WorkerDepartureDetector {
    /**
     * Age of an entry, in heartbeat intervals, up to which missing heartbeats cannot have removed
     * it.
     */
    private static final double MAX_DEPARTURE_INTERVALS = 2.5;

    /** Longest time between two reads that counts as uninterrupted reading. */
    private static final long MAX_READ_GAP_MILLIS = 2_000;

    private static final long UNKNOWN = -1;

    private final long mHeartbeatMillis;
    private final Map<String, ListedWorker> mEntries = new HashMap<>();
    private final List<String> mRemovedIds = new ArrayList<>();
    private long mLastReadMillis = UNKNOWN;
    private long mContinuousSinceMillis = UNKNOWN;

    /** Listed worker, and a time of the store's clock before which its entry was not written. */
    private record ListedWorker(WorkerEntry worker, long writtenAfterMillis) {}

    /**
     * Creates a detector before the first read.
     *
     * @param heartbeatMillis interval between two writes of a worker's entry, in milliseconds
     */
    WorkerDepartureDetector(long heartbeatMillis) {
        mHeartbeatMillis = heartbeatMillis;
    }

    /** Discards all entries; the complete list follows. */
    void onReset() {
        mEntries.clear();
        mRemovedIds.clear();
        onReadFailed();
    }

    /** Records a failed read, which interrupts the sequence of reads. */
    void onReadFailed() {
        mLastReadMillis = UNKNOWN;
        mContinuousSinceMillis = UNKNOWN;
    }

    /** Records that a worker's entry was written. */
    void onEntryWritten(WorkerEntry worker) {
        mEntries.put(worker.id(), new ListedWorker(worker, mLastReadMillis));
        mRemovedIds.remove(worker.id());
    }

    /**
     * Records that an entry was overwritten by one that names no worker, whose removal says nothing
     * about the former one.
     */
    void onEntryOverwritten(String id) {
        mEntries.remove(id);
        mRemovedIds.remove(id);
    }

    /** Records that a worker's entry was removed. */
    void onEntryRemoved(String id) {
        mRemovedIds.add(id);
    }

    /**
     * Evaluates the removals of a read.
     *
     * @param storeMillis steady clock of the store at the read, in milliseconds
     * @return workers that have certainly ended
     */
    List<WorkerEntry> finishRead(long storeMillis) {
        if (mLastReadMillis == UNKNOWN || storeMillis - mLastReadMillis > MAX_READ_GAP_MILLIS) {
            mContinuousSinceMillis = storeMillis;
        }
        List<WorkerEntry> departed = new ArrayList<>();
        for (String id : mRemovedIds) {
            ListedWorker entry = mEntries.remove(id);
            if (entry != null && hasDeparted(entry, storeMillis)) {
                departed.add(entry.worker());
            }
        }
        mRemovedIds.clear();
        mLastReadMillis = storeMillis;
        return departed;
    }

    private boolean hasDeparted(ListedWorker entry, long storeMillis) {
        long writtenAfterMillis = entry.writtenAfterMillis();
        return entry.worker().draining()
                && writtenAfterMillis != UNKNOWN
                && mContinuousSinceMillis <= writtenAfterMillis
                && storeMillis - writtenAfterMillis < MAX_DEPARTURE_INTERVALS * mHeartbeatMillis;
    }
}
