package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import org.hyssoprouter.errors.TableError;

/**
 * Port to the platform's transactional table. Calls block; they are made from threads that do
 * nothing else.
 *
 * @since 0.1
 */
public interface TableService {
    /** Reads rows by key in one consistent read; rows that do not exist are left out. */
    Either<TableError, List<Row>> read(Collection<String> keys);

    /** Reads all rows whose key begins with {@code prefix}, in order of their keys. */
    Either<TableError, List<Row>> scan(String prefix);

    /**
     * Applies a transaction.
     *
     * @return the version that every written row now has, or why it failed
     */
    Either<TableError, Long> commit(Transaction transaction);
}
