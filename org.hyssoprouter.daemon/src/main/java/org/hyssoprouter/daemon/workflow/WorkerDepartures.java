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
final class WorkerDepartures {
    /** Heartbeat intervals of silence that certainly do not remove an entry yet. */
    private static final double SAFE_INTERVALS = 2.5;

    /** Longest time between two readings that counts as unbroken reading. */
    private static final long UNBROKEN_MILLIS = 2_000;

    private static final long UNKNOWN = -1;

    private final long mHeartbeatMillis;
    private final Map<String, Entry> mEntries = new HashMap<>();
    private final List<String> mRemoved = new ArrayList<>();
    private long mReadMillis = UNKNOWN;
    private long mUnbrokenSinceMillis = UNKNOWN;

    /** An entry and a time of the store's clock that it was not written before. */
    private record Entry(WorkerEntry worker, long notBeforeMillis) {}

    /**
     * Creates the view of a reader that has read nothing.
     *
     * @param heartbeatMillis time between two writes of a worker's entry
     */
    WorkerDepartures(long heartbeatMillis) {
        mHeartbeatMillis = heartbeatMillis;
    }

    /** Takes note that all entries follow. */
    void reset() {
        mEntries.clear();
        mRemoved.clear();
        failed();
    }

    /** Takes note that a reading failed. */
    void failed() {
        mReadMillis = UNKNOWN;
        mUnbrokenSinceMillis = UNKNOWN;
    }

    void written(WorkerEntry worker) {
        mEntries.put(worker.id(), new Entry(worker, mReadMillis));
        mRemoved.remove(worker.id());
    }

    void removed(String id) {
        mRemoved.add(id);
    }

    /**
     * Takes note of the end of a reading.
     *
     * @param storeMillis steady clock of the store at the reading
     * @return workers that have certainly left
     */
    List<WorkerEntry> read(long storeMillis) {
        if (mReadMillis == UNKNOWN || storeMillis - mReadMillis > UNBROKEN_MILLIS) {
            mUnbrokenSinceMillis = storeMillis;
        }
        List<WorkerEntry> left = new ArrayList<>();
        for (String id : mRemoved) {
            Entry entry = mEntries.remove(id);
            if (entry != null && hasLeft(entry, storeMillis)) {
                left.add(entry.worker());
            }
        }
        mRemoved.clear();
        mReadMillis = storeMillis;
        return left;
    }

    private boolean hasLeft(Entry entry, long storeMillis) {
        long sinceMillis = entry.notBeforeMillis();
        return entry.worker().draining()
                && sinceMillis != UNKNOWN
                && mUnbrokenSinceMillis <= sinceMillis
                && storeMillis - sinceMillis < SAFE_INTERVALS * mHeartbeatMillis;
    }
}
