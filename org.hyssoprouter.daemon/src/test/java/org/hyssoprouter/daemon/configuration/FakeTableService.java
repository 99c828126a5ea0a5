package org.hyssoprouter.daemon.configuration;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;

/** In-memory table service that can simulate an outage. */
final class FakeTableService implements TableService {
    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private long mVersion;
    private boolean mUnavailable;

    synchronized void setUnavailable(boolean outage) {
        mUnavailable = outage;
    }

    @Override
    public synchronized Either<TableError, List<Row>> read(Collection<String> keys) {
        return scan("").map(rows -> rows.stream().filter(r -> keys.contains(r.key())).toList());
    }

    @Override
    public synchronized Either<TableError, List<Row>> scan(String prefix) {
        if (mUnavailable) {
            return Either.left(TableError.unavailable("simulated outage"));
        }
        return Either.right(
                mRows.values().stream().filter(row -> row.key().startsWith(prefix)).toList());
    }

    @Override
    public synchronized Either<TableError, Long> commit(Transaction transaction) {
        if (mUnavailable) {
            return Either.left(TableError.unavailable("simulated outage"));
        }
        for (Transaction.Check check : transaction.checks()) {
            Row row = mRows.get(check.key());
            if ((row == null ? Transaction.ABSENT : row.version()) != check.version()) {
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
}
