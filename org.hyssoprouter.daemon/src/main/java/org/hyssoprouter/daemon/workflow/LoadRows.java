package org.hyssoprouter.daemon.workflow;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.hyssoprouter.util.MessageCodec;

/**
 * Rows with the owner's load. Each has the queues of one hash value, so that its size does not grow
 * with the number of queues. Queues without waiting workflows are left out.
 */
final class LoadRows {
    /** Interval between two publications of the load. */
    static final long INTERVAL_MILLIS = 500;

    /** Number of queues in a row on average. */
    private static final int QUEUES_PER_ROW = 100;

    /** Size from which the rows that are left wait for a later commit. */
    private static final int MAX_BYTES = 50_000;

    /** Number of rows after which the others wait for a later commit. */
    private static final int MAX_ROWS = 8;

    /**
     * Rows to write with a commit.
     *
     * @param rows rows of the states table by key
     * @param waiting number of waiting workflows of all queues
     * @param isComplete whether the table then has the counts that were given
     */
    record Due(Map<String, byte[]> rows, int waiting, boolean isComplete) {
        static final Due NOTHING = new Due(Map.of(), 0, false);
    }

    private final Map<Integer, LoadRow> mDurable = new HashMap<>();
    private final Map<Integer, LoadRow> mInFlight = new HashMap<>();
    private int mRowCount = 1;
    private long mPublishedMillis;

    /**
     * Returns the rows to write now, at most once per interval.
     *
     * @param pending number of waiting workflows of each queue
     */
    Due due(Map<String, Integer> pending, long nowMillis) {
        mInFlight.clear();
        if (nowMillis - mPublishedMillis < INTERVAL_MILLIS) {
            return Due.NOTHING;
        }
        mPublishedMillis = nowMillis;
        Map<String, byte[]> writes = new LinkedHashMap<>();
        boolean isComplete = true;
        int bytes = 0;
        for (Map.Entry<Integer, LoadRow> row : rowsOf(pending).entrySet()) {
            boolean isChanged = !row.getValue().equals(mDurable.get(row.getKey()));
            boolean fits = bytes < MAX_BYTES && writes.size() < MAX_ROWS;
            isComplete &= fits || !isChanged;
            if (isChanged && fits) {
                byte[] value = MessageCodec.encode(row.getValue());
                bytes += value.length;
                writes.put(Schema.loadKey(row.getKey()), value);
                mInFlight.put(row.getKey(), row.getValue());
            }
        }
        int waiting = pending.values().stream().mapToInt(Integer::intValue).sum();
        return new Due(writes, waiting, isComplete);
    }

    private Map<Integer, LoadRow> rowsOf(Map<String, Integer> pending) {
        Map<String, Integer> waiting = new HashMap<>(pending);
        waiting.values().removeIf(count -> count == 0);
        while (waiting.size() > mRowCount * QUEUES_PER_ROW) {
            mRowCount *= 2;
        }
        Map<Integer, LoadRow> rows = new TreeMap<>();
        for (int number = 0; number < mRowCount; number++) {
            rows.put(number, new LoadRow(new TreeMap<>(), mRowCount));
        }
        waiting.forEach(
                (queue, count) ->
                        Objects.requireNonNull(rows.get(LoadRow.numberOf(queue, mRowCount)))
                                .pending()
                                .put(queue, count));
        return rows;
    }

    /** Records that the last rows are durable. */
    void recordDurable() {
        mDurable.putAll(mInFlight);
        mInFlight.clear();
    }

    /** Forgets the last rows, which the store has not taken. */
    void forgetUnwritten() {
        mInFlight.clear();
    }
}
