package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.TableError;

/**
 * Appends events of one owned shard to its durable journal, in the order of the calls.
 *
 * @since 0.1
 */
public interface EventLog {
    /**
     * Appends events; those of one call are kept together.
     *
     * @return completes once they are durable, or with the reason why they will never be; a future
     *     stays open while the table service is out, and {@code withinMillis} bounds that: events
     *     not handed to the table by then are dropped with {@code UNAVAILABLE}. 0 means no bound.
     */
    CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis);
}
