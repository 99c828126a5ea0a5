package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;

/** Reads the durable row of a single workflow. */
final class RunRowReader {
    private static final EventLogger LOG = EventLogger.of(RunRowReader.class);

    private RunRowReader() {}

    /** Reads the row of a workflow; none if it has no row yet. */
    static CompletableFuture<Either<TableError, Option<WorkflowRow>>> read(
            PartitionTable table, String id) {
        PartitionTable.Range range =
                new PartitionTable.Range(Schema.RUNS, Schema.POOLS_PARTITION, id, id + '\0', 1);
        return table.read(range).thenApply(read -> read.flatMap(page -> decode(id, page)));
    }

    private static Either<TableError, Option<WorkflowRow>> decode(
            String id, PartitionTable.Page page) {
        for (PartitionTable.Entry entry : page.entries()) {
            byte[] value = entry.value();
            if (value == null) {
                continue;
            }
            try {
                return Either.right(Option.some(MessageCodec.decode(value, WorkflowRow.class)));
            } catch (IOException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, id, e.getMessage());
                return Either.left(TableError.unknown("row of " + id + " cannot be read"));
            }
        }
        return Either.right(Option.none());
    }
}
