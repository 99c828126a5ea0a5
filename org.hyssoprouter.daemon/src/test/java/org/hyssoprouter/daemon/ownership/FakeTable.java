package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;

/** Table and object store in memory, with an outage on order. */
final class FakeTable implements TableService, ObjectStore {
    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final Map<String, byte[]> mObjects = new ConcurrentHashMap<>();
    private long mVersion;
    volatile boolean mOut;

    @Override
    public synchronized Either<TableError, List<Row>> read(Collection<String> keys) {
        return unlessOut(mRows.values().stream().filter(r -> keys.contains(r.key())).toList());
    }

    @Override
    public synchronized Either<TableError, List<Row>> scan(String prefix) {
        return unlessOut(mRows.values().stream().filter(r -> r.key().startsWith(prefix)).toList());
    }

    @Override
    public synchronized Either<TableError, Long> commit(Transaction transaction) {
        if (mOut) {
            return Either.left(TableError.unavailable("out"));
        }
        for (Transaction.Check check : transaction.checks()) {
            Row row = mRows.get(check.key());
            if (check.version() != (row == null ? Transaction.ABSENT : row.version())) {
                return Either.left(TableError.conflict(check.key()));
            }
        }
        mVersion++;
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

    private <T> Either<TableError, T> unlessOut(T value) {
        return mOut ? Either.left(TableError.unavailable("out")) : Either.right(value);
    }

    @Override
    public Either<TableError, Boolean> put(String key, byte[] content) {
        mObjects.put(key, content);
        return unlessOut(true);
    }

    @Override
    public Either<TableError, Option<byte[]>> get(String key) {
        return unlessOut(Option.of(mObjects.get(key)));
    }

    @Override
    public Either<TableError, Boolean> delete(String key) {
        return unlessOut(mObjects.remove(key) != null);
    }
}
