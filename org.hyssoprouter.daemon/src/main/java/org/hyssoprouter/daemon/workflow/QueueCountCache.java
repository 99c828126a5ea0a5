package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Caches the load rows of the pool owner with the time that its row gives for them. The rows of one
 * commit appear together. Written by one thread; readers may use any.
 */
final class QueueCountCache {
    private final MonotonicClock mClock;

    /** Counts the time for which the machine was suspended, unlike the monotonic clock. */
    private final Clock mTimeOfDay;

    private final StoreClock mStoreClock;
    private final Map<String, LoadRow> mRows = new HashMap<>();
    private long mCountedMillis;
    private long mEpoch;

    /** Whether the rows are those of a scan, whose pages may be of different times. */
    private boolean mScanned;

    private volatile Snapshot mSnapshot = new Snapshot(Map.of(), 0, 0, 0, 0);

    private record Snapshot(
            Map<String, LoadRow> rows,
            long countedMillis,
            long epoch,
            long readMillis,
            long readEpochMillis) {
        int waiting(String queue) {
            int rowCount = rows.getOrDefault(Schema.LOAD_KEY, LoadRow.NONE).rowCount();
            String key = Schema.loadKey(LoadRow.numberOf(queue, rowCount));
            return rows.getOrDefault(key, LoadRow.NONE).pending().getOrDefault(queue, 0);
        }
    }

    QueueCountCache(MonotonicClock clock, Clock timeOfDay, StoreClock storeClock) {
        mClock = clock;
        mTimeOfDay = timeOfDay;
        mStoreClock = storeClock;
    }

    /** All rows follow. */
    void onReset() {
        mScanned = true;
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
        if (mScanned) {
            // The next read has the changes since the first page of the scan.
            mScanned = false;
            return;
        }
        mSnapshot =
                new Snapshot(
                        Map.copyOf(mRows),
                        mCountedMillis,
                        mEpoch,
                        mClock.millis(),
                        mTimeOfDay.millis());
    }

    /** Returns the number of waiting workflows of a queue; none if no owner has published it. */
    Option<QueueCount> countOf(String queue) {
        Snapshot snapshot = mSnapshot;
        if (snapshot.countedMillis() == 0) {
            return Option.none();
        }
        long elapsedMillis = mClock.millis() - snapshot.readMillis();
        long suspendedMillis = mTimeOfDay.millis() - snapshot.readEpochMillis() - elapsedMillis;
        long ageMillis =
                mStoreClock.millis() - snapshot.countedMillis() + Math.max(0, suspendedMillis);
        return Option.some(new QueueCount(snapshot.waiting(queue), ageMillis, snapshot.epoch()));
    }
}
