package org.hyssoprouter.transport;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.errors.TableError;

/** In-memory table service and object store with fault injection. */
public final class InMemoryStore implements TableService, ObjectStore {
    /** Fault injected into a commit. */
    public enum Fault {
        /** The commit succeeds. */
        NONE,
        /** The commit is refused before any effect. */
        UNAVAILABLE,
        /** The commit is lost before it takes effect; its outcome is reported as unknown. */
        LOST_BEFORE_EFFECT,
        /** The commit takes effect, but its reply is lost. */
        LOST_AFTER_EFFECT,
        /**
         * The reply is lost; {@link #applyLateTransactions} applies the commit if its checks pass.
         */
        LATE_EFFECT
    }

    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final Map<String, byte[]> mObjects = new ConcurrentHashMap<>();
    private final List<Transaction> mLateTransactions = new ArrayList<>();
    private long mVersion;
    private long mCommits;
    private boolean mUnavailable;

    /** Starts or ends an outage of all operations. */
    public synchronized void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    /** Returns the number of transactions that took effect. */
    public synchronized long commitCount() {
        return mCommits;
    }

    /** Applies the transactions committed with {@link Fault#LATE_EFFECT}. */
    public synchronized void applyLateTransactions() {
        mLateTransactions.forEach(this::apply);
        mLateTransactions.clear();
    }

    @Override
    public synchronized Either<TableError, List<Row>> read(Collection<String> keys) {
        return unlessUnavailable(
                mRows.values().stream().filter(r -> keys.contains(r.key())).toList());
    }

    @Override
    public synchronized Either<TableError, List<Row>> scan(String prefix) {
        return unlessUnavailable(
                mRows.values().stream().filter(r -> r.key().startsWith(prefix)).toList());
    }

    @Override
    public Either<TableError, Long> commit(Transaction transaction) {
        return commit(transaction, Fault.NONE);
    }

    /** Commits a transaction with an injected fault. */
    public synchronized Either<TableError, Long> commit(Transaction transaction, Fault fault) {
        if (mUnavailable || fault == Fault.UNAVAILABLE) {
            return Either.left(TableError.unavailable("table unavailable"));
        }
        if (fault == Fault.LATE_EFFECT) {
            mLateTransactions.add(transaction);
        }
        if (fault == Fault.LATE_EFFECT || fault == Fault.LOST_BEFORE_EFFECT) {
            return Either.left(TableError.unknown("no reply"));
        }
        Either<TableError, Long> result = apply(transaction);
        return fault == Fault.NONE ? result : Either.left(TableError.unknown("no reply"));
    }

    private Either<TableError, Long> apply(Transaction transaction) {
        for (Transaction.Check check : transaction.checks()) {
            Row row = mRows.get(check.key());
            if (check.version() != (row == null ? Transaction.ABSENT : row.version())) {
                return Either.left(TableError.conflict(check.key()));
            }
        }
        mVersion++;
        mCommits++;
        for (Transaction.Write write : transaction.writes()) {
            byte[] value = write.value();
            if (value == null) {
                mRows.remove(write.key());
            } else {
                mRows.put(write.key(), new Row(write.key(), mVersion, value));
            }
        }
        return Either.right(mVersion);
    }

    private <T> Either<TableError, T> unlessUnavailable(T value) {
        return mUnavailable
                ? Either.left(TableError.unavailable("table unavailable"))
                : Either.right(value);
    }

    @Override
    public synchronized Either<TableError, Boolean> put(String key, byte[] content) {
        return unlessUnavailable(mObjects.put(key, content) == null);
    }

    @Override
    public synchronized Either<TableError, Option<byte[]>> get(String key) {
        return unlessUnavailable(Option.of(mObjects.get(key)));
    }

    @Override
    public synchronized Either<TableError, Boolean> delete(String key) {
        return unlessUnavailable(mObjects.remove(key) != null);
    }
}
