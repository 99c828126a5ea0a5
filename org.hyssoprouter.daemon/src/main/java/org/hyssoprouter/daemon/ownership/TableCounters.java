package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;

/**
 * Table service that counts the calls of this daemon and delegates them.
 *
 * @since 0.1
 */
public final class TableCounters implements TableService {
    /**
     * Totals since the daemon started.
     *
     * @param reads number of reads and scans
     * @param commits number of transactions sent
     * @param rowsWritten number of rows written or deleted by these transactions
     * @param failures number of failed calls of any kind, including conflicts
     */
    public record Totals(long reads, long commits, long rowsWritten, long failures) {}

    private final TableService mTable;
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mCommits = new LongAdder();
    private final LongAdder mRowsWritten = new LongAdder();
    private final LongAdder mFailures = new LongAdder();

    /** Creates a counting wrapper of a table service. */
    public TableCounters(TableService table) {
        mTable = table;
    }

    /** Returns the current totals. */
    public Totals totals() {
        return new Totals(mReads.sum(), mCommits.sum(), mRowsWritten.sum(), mFailures.sum());
    }

    @Override
    public Either<TableError, List<Row>> read(Collection<String> keys) {
        mReads.increment();
        return counted(mTable.read(keys));
    }

    @Override
    public Either<TableError, List<Row>> scan(String prefix) {
        mReads.increment();
        return counted(mTable.scan(prefix));
    }

    @Override
    public Either<TableError, Long> commit(Transaction transaction) {
        mCommits.increment();
        mRowsWritten.add(transaction.writes().size());
        return counted(mTable.commit(transaction));
    }

    private <T> Either<TableError, T> counted(Either<TableError, T> result) {
        if (result.isLeft()) {
            mFailures.increment();
        }
        return result;
    }
}
