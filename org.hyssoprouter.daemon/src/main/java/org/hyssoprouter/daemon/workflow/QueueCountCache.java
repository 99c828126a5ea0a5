package org.hyssoprouter.daemon.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * Caches the load rows of the pool owner with the time that its row gives for them. The rows of one
 * commit appear together. Written by one thread; readers may use any.
 */
final class QueueCountCache {
    private final Map<String, LoadRow> mRows = new HashMap<>();
    private long mCountedMillis;
    private long mEpoch;
    private volatile Snapshot mSnapshot = new Snapshot(Map.of(), 0, 0);

    private record Snapshot(Map<String, LoadRow> rows, long countedMillis, long epoch) {
        QueueCount countOf(String queue) {
            int rowCount = rows.getOrDefault(Schema.LOAD_KEY, LoadRow.NONE).rowCount();
            String key = Schema.loadKey(LoadRow.numberOf(queue, rowCount));
            int waiting = rows.getOrDefault(key, LoadRow.NONE).pending().getOrDefault(queue, 0);
            return new QueueCount(waiting, countedMillis, epoch);
        }
    }

    void putLoad(String key, LoadRow row) {
        mRows.put(key, row);
    }

    void putOwner(OwnerRow row) {
        mCountedMillis = row.countedMillis();
        mEpoch = row.epoch();
    }

    /** All rows up to a version have been put. */
    void onSynced() {
        mSnapshot = new Snapshot(Map.copyOf(mRows), mCountedMillis, mEpoch);
    }

    QueueCount countOf(String queue) {
        return mSnapshot.countOf(queue);
    }
}
