package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.workflow.WorkerEntry;

/**
 * Tells workers that have left from workers that are only silent, by the list in the table store. A
 * silent worker may run on, and its entry is removed after three heartbeat intervals; an entry of a
 * draining worker that is removed sooner than that was removed because the worker has ended.
 */
final class WorkerDepartureDetector {
    /** Heartbeat intervals of silence that certainly do not remove an entry yet. */
    private static final double MAX_DEPARTURE_INTERVALS = 2.5;

    /** Longest time between two readings that counts as unbroken reading. */
    private static final long MAX_READ_GAP_MILLIS = 2_000;

    private static final long UNKNOWN = -1;

    private final long mHeartbeatMillis;
    private final Map<String, ListedWorker> mEntries = new HashMap<>();
    private final List<String> mRemovedIds = new ArrayList<>();
    private long mLastReadMillis = UNKNOWN;
    private long mContinuousSinceMillis = UNKNOWN;

    /** An entry and a time of the store's clock that it was not written before. */
    private record ListedWorker(WorkerEntry worker, long writtenAfterMillis) {}

    /**
     * Creates the view of a reader that has read nothing.
     *
     * @param heartbeatMillis time between two writes of a worker's entry
     */
    WorkerDepartureDetector(long heartbeatMillis) {
        mHeartbeatMillis = heartbeatMillis;
    }

    /** Takes note that all entries follow. */
    void onReset() {
        mEntries.clear();
        mRemovedIds.clear();
        onReadFailed();
    }

    /** Takes note that a reading failed. */
    void onReadFailed() {
        mLastReadMillis = UNKNOWN;
        mContinuousSinceMillis = UNKNOWN;
    }

    void onEntryWritten(WorkerEntry worker) {
        mEntries.put(worker.id(), new ListedWorker(worker, mLastReadMillis));
        mRemovedIds.remove(worker.id());
    }

    void onEntryRemoved(String id) {
        mRemovedIds.add(id);
    }

    /**
     * Takes note of the end of a reading.
     *
     * @param storeMillis steady clock of the store at the reading
     * @return workers that have certainly left
     */
    List<WorkerEntry> finishRead(long storeMillis) {
        if (mLastReadMillis == UNKNOWN || storeMillis - mLastReadMillis > MAX_READ_GAP_MILLIS) {
            mContinuousSinceMillis = storeMillis;
        }
        List<WorkerEntry> left = new ArrayList<>();
        for (String id : mRemovedIds) {
            ListedWorker entry = mEntries.remove(id);
            if (entry != null && hasDeparted(entry, storeMillis)) {
                left.add(entry.worker());
            }
        }
        mRemovedIds.clear();
        mLastReadMillis = storeMillis;
        return left;
    }

    private boolean hasDeparted(ListedWorker entry, long storeMillis) {
        long sinceMillis = entry.writtenAfterMillis();
        return entry.worker().draining()
                && sinceMillis != UNKNOWN
                && mContinuousSinceMillis <= sinceMillis
                && storeMillis - sinceMillis < MAX_DEPARTURE_INTERVALS * mHeartbeatMillis;
    }
}
