package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Transaction;

/**
 * Commits single transactions as parts of this daemon's next group.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface GroupCommit {
    /**
     * Commits a transaction, whole or not at all, together with others.
     *
     * @param transaction checks and writes
     * @param withinMillis time after which it is dropped with {@code UNAVAILABLE} if it was not
     *     handed to the table by then; 0 means no bound
     * @return completes with true, or with {@code CONFLICT} or {@code UNAVAILABLE}; never with
     *     {@code UNKNOWN}, because a lost reply is settled by reading back
     */
    CompletableFuture<Either<TableError, Boolean>> commit(
            Transaction transaction, long withinMillis);
}
