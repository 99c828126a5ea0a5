package org.hyssoprouter.standin.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Thread-safe in-memory table with version-checked transactions.
 *
 * @since 0.1
 */
public final class MemoryTable {
    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final PlatformCounters mCounters;
    private long mVersion;

    MemoryTable(PlatformCounters counters) {
        mCounters = counters;
    }

    /** Returns the existing rows with the given keys. */
    public synchronized List<Row> read(List<String> keys) {
        List<Row> found = new ArrayList<>();
        for (String key : keys) {
            Row row = mRows.get(key);
            if (row != null) {
                found.add(row);
            }
        }
        mCounters.addRead(found.size());
        return found;
    }

    /** Returns the rows whose key starts with {@code prefix}, ordered by key. */
    public synchronized List<Row> scan(String prefix) {
        List<Row> found = new ArrayList<>();
        for (Row row : mRows.tailMap(prefix).values()) {
            if (!row.key().startsWith(prefix)) {
                break;
            }
            found.add(row);
        }
        mCounters.addRead(found.size());
        return found;
    }

    /** Applies a transaction atomically; applies nothing if one of its checks fails. */
    public synchronized CommitOutcome commit(Transaction transaction) {
        String conflict = findConflict(transaction);
        if (conflict != null) {
            mCounters.addConflict();
            return new CommitOutcome(0, conflict);
        }
        mVersion++;
        for (Transaction.Write write : transaction.writes()) {
            apply(write);
        }
        mCounters.addCommit(transaction.writes().size());
        return new CommitOutcome(mVersion, null);
    }

    private @Nullable String findConflict(Transaction transaction) {
        for (Transaction.Check check : transaction.checks()) {
            Row row = mRows.get(check.key());
            long version = row == null ? Transaction.ABSENT : row.version();
            if (version != check.version()) {
                return check.key();
            }
        }
        return null;
    }

    private void apply(Transaction.Write write) {
        byte[] value = write.value();
        if (value == null) {
            mRows.remove(write.key());
            return;
        }
        mRows.put(write.key(), new Row(write.key(), mVersion, value));
    }

    /**
     * Outcome of a transaction.
     *
     * @param version version of the written rows; 0 after a conflict
     * @param conflictKey key whose check failed; null if the transaction was applied
     */
    public record CommitOutcome(long version, @Nullable String conflictKey) {}
}
