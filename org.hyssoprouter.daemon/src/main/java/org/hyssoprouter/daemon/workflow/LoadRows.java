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
    /** Interval between two publications of a changed load: each commit of a quiet owner. */
    static final long INTERVAL_MILLIS = OwnerCommitter.HEARTBEAT_MILLIS;

    /** Number of queues in a row on average. */
    private static final int QUEUES_PER_ROW = 100;

    /** Size from which the rows that are left wait for a later commit. */
    private static final int MAX_BYTES = 50_000;

    /** Number of rows after which the others wait for a later commit. */
    private static final int MAX_ROWS = 8;

    private final Map<Integer, LoadRow> mDurable = new HashMap<>();
    private final Map<Integer, LoadRow> mInFlight = new HashMap<>();

    /** Rows of the publication that is not durable yet; empty if there is none. */
    private final Map<Integer, LoadRow> mTarget = new TreeMap<>();

    private long mTargetCountedMillis;
    private int mRowCount = 1;

    /** Number of rows that readers distribute the queues over; 0 before the first publication. */
    private int mDurableRowCount;

    private long mPublishedMillis;

    /**
     * Rows to write with a commit.
     *
     * @param rows rows of the states table by key
     * @param waiting number of waiting workflows of all queues
     * @param countedMillis time of the numbers that the table then has, as given with them; 0 if
     *     the table then has rows of two publications; {@link #UNCHANGED} if it has the former ones
     */
    record Due(Map<String, byte[]> rows, int waiting, long countedMillis) {
        static final long UNCHANGED = -1;
        static final Due NOTHING = new Due(Map.of(), 0, UNCHANGED);
    }

    /**
     * Returns the rows to write now, at most once per interval.
     *
     * @param pending number of waiting workflows of each queue
     * @param countedMillis clock of the store up to which accepted workflows are counted, in
     *     milliseconds
     */
    Due due(Map<String, Integer> pending, long countedMillis, long nowMillis) {
        mInFlight.clear();
        if (mTarget.isEmpty()) {
            Map<Integer, LoadRow> rows = rowsOf(pending);
            if (mDurableRowCount == mRowCount && mDurable.equals(rows)) {
                return new Due(Map.of(), 0, countedMillis);
            }
            if (nowMillis - mPublishedMillis < INTERVAL_MILLIS) {
                return Due.NOTHING;
            }
            mPublishedMillis = nowMillis;
            mTarget.putAll(rows);
            mTargetCountedMillis = countedMillis;
        }
        return nextOfTarget();
    }

    private Due nextOfTarget() {
        Map<String, byte[]> writes = new LinkedHashMap<>();
        boolean isComplete = true;
        int waiting = 0;
        int bytes = 0;
        for (Map.Entry<Integer, LoadRow> row : mTarget.entrySet()) {
            waiting += row.getValue().pending().values().stream().mapToInt(it -> it).sum();
            if (row.getValue().equals(mDurable.get(row.getKey()))) {
                continue;
            }
            if (bytes >= MAX_BYTES || writes.size() >= MAX_ROWS) {
                isComplete = false;
                continue;
            }
            byte[] value = MessageCodec.encode(row.getValue());
            bytes += value.length;
            writes.put(Schema.loadKey(row.getKey()), value);
            mInFlight.put(row.getKey(), row.getValue());
        }
        // Rows of the former publication stay right for as long as the queues stay in their rows.
        long partialMillis = mDurableRowCount == mRowCount ? Due.UNCHANGED : 0;
        return new Due(writes, waiting, isComplete ? mTargetCountedMillis : partialMillis);
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
        if (!mTarget.isEmpty() && mDurable.equals(mTarget)) {
            mDurableRowCount = mTarget.size();
            mTarget.clear();
        }
    }

    /** Forgets the last rows, which the store has not taken. */
    void forgetUnwritten() {
        mInFlight.clear();
    }
}
