package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Shrinks the rows of workflows that are over, so that a new owner reads only what is still to do.
 * A write that is lost or late does no harm: such a row is read and left alone.
 */
final class OverWorkflows {
    private static final long PAUSE_MILLIS = 2_000;
    private static final int MAX_ROWS = 90;

    private final PartitionTable mTable;
    private final MonotonicClock mClock;
    private final Map<String, List<String>> mWaiting = new TreeMap<>();
    private long mLastMillis;

    OverWorkflows(PartitionTable table, MonotonicClock clock) {
        mTable = table;
        mClock = clock;
    }

    void add(String id) {
        mWaiting.computeIfAbsent(Tables.jobPartition(id), key -> new ArrayList<>()).add(id);
    }

    /** Writes what waits, now and then. */
    void pump() {
        long nowMillis = mClock.millis();
        if (mWaiting.isEmpty() || nowMillis - mLastMillis < PAUSE_MILLIS) {
            return;
        }
        mLastMillis = nowMillis;
        mWaiting.forEach(this::shrink);
        mWaiting.clear();
    }

    private void shrink(String partition, List<String> ids) {
        PartitionTable.Batch batch = new PartitionTable.Batch(partition);
        for (String id : ids.subList(0, Math.min(MAX_ROWS, ids.size()))) {
            batch.put(Tables.JOBS, id, Tables.OVER);
        }
        CompletableFuture<Void> unused = mTable.commit(batch).thenAccept(done -> {});
    }
}
