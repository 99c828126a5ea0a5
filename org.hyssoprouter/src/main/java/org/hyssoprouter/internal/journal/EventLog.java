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
     * Appends events; the events of one call become durable together.
     *
     * @param withinMillis time in milliseconds after which events that were not yet sent to the
     *     table are dropped with {@code UNAVAILABLE}; 0 means no limit
     * @return completes with true once the events are durable, or with the error if they will never
     *     be; without a time limit it stays incomplete while the table service is unavailable
     */
    CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis);
}
