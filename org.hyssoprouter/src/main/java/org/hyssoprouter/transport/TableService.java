package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import org.hyssoprouter.errors.TableError;

/**
 * Port to the platform's transactional table. Calls block and must be made from dedicated threads.
 *
 * @since 0.1
 */
public interface TableService {
    /** Reads rows by key in one consistent read; missing rows are omitted. */
    Either<TableError, List<Row>> read(Collection<String> keys);

    /** Reads all rows whose key begins with {@code prefix}, in key order. */
    Either<TableError, List<Row>> scan(String prefix);

    /**
     * Commits a transaction.
     *
     * @return the new version of all written rows, or the reason of the failure
     */
    Either<TableError, Long> commit(Transaction transaction);
}
