package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Transaction;

/**
 * Part of a write group. It is committed with its group, or rejected alone if its checks fail.
 *
 * @since 0.1
 */
public interface GroupPart {
    /** Returns the checks and writes of this part; every call returns the same ones. */
    Transaction transaction();

    /**
     * Handles the outcome; called once, on the writer's thread.
     *
     * @param outcome receipt of the commit, {@code CONFLICT}, or {@code UNAVAILABLE} if the part
     *     did not reach the table and may be retried
     */
    void complete(Either<TableError, CommitReceipt> outcome);
}
