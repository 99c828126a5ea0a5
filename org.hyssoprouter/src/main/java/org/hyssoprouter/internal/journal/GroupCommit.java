package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Transaction;

/**
 * Commits transactions as parts of this daemon's next write group.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface GroupCommit {
    /**
     * Commits a transaction atomically, in one group with others.
     *
     * @param transaction checks and writes
     * @param withinMillis time in milliseconds after which the transaction is dropped with {@code
     *     UNAVAILABLE} if it was not yet sent to the table; 0 means no limit
     * @return completes with true, or with {@code CONFLICT} or {@code UNAVAILABLE}; never with
     *     {@code UNKNOWN}, because the writer resolves a lost reply by reading its own row
     */
    CompletableFuture<Either<TableError, Boolean>> commit(
            Transaction transaction, long withinMillis);
}
