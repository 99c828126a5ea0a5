package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Transaction;

/**
 * Part of a group: takes effect with the group or is refused alone.
 *
 * @since 0.1
 */
public interface GroupPart {
    /** Returns the checks and writes of this part; always the same ones. */
    Transaction transaction();

    /**
     * Tells the outcome; called once, on the writer's thread.
     *
     * @param outcome proof of effect, {@code CONFLICT}, or {@code UNAVAILABLE} if the part did not
     *     reach the table and may be offered again
     */
    void complete(Either<TableError, CommitReceipt> outcome);
}
