package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Replaces the job rows of finished workflows by a short marker, so that a new owner reads only
 * unfinished ones in full. A lost or late write is harmless: the full row is then read and has no
 * effect.
 */
final class FinishedWorkflowCompactor {
    private static final long COMPACTION_INTERVAL_MILLIS = 2_000;
    private static final int MAX_ROWS_PER_COMMIT = 90;

    private static final EventLogger LOG = EventLogger.of(FinishedWorkflowCompactor.class);

    private final PartitionTable mTable;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Map<String, List<FinishedWorkflow>> mPendingIds = new TreeMap<>();
    private long mLastCompactionMillis;

    /** Finished workflow and its workspace, which may be empty. */
    private record FinishedWorkflow(String id, String workspace) {}

    FinishedWorkflowCompactor(PartitionTable table, SerialExecutor thread, MonotonicClock clock) {
        mThread = thread;
        mTable = table;
        mClock = clock;
    }

    /** Schedules the row of a finished workflow for compaction. */
    void add(String id, String workspace) {
        mPendingIds
                .computeIfAbsent(Schema.jobPartition(id), key -> new ArrayList<>())
                .add(new FinishedWorkflow(id, workspace));
    }

    /** Writes the pending markers, at most once per interval. */
    void compactIfDue() {
        long nowMillis = mClock.millis();
        if (mPendingIds.isEmpty()
                || nowMillis - mLastCompactionMillis < COMPACTION_INTERVAL_MILLIS) {
            return;
        }
        mLastCompactionMillis = nowMillis;
        mPendingIds.forEach(this::compact);
        mPendingIds.values().removeIf(List::isEmpty);
    }

    /** Writes markers of a partition; the rest, and those of a failed write, follow later. */
    private void compact(String partition, List<FinishedWorkflow> workflows) {
        List<FinishedWorkflow> first =
                workflows.subList(0, Math.min(MAX_ROWS_PER_COMMIT, workflows.size()));
        List<FinishedWorkflow> group = List.copyOf(first);
        first.clear();
        PartitionTable.Batch batch = new PartitionTable.Batch(partition);
        group.forEach(it -> batch.put(Schema.JOBS, it.id(), Schema.finishedRow(it.workspace())));
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mTable.commit(batch),
                                "compaction",
                                PartitionTable.CommitFailure::unknownOutcome)
                        .thenAccept(result -> mThread.execute(() -> handleResult(group, result)));
    }

    private void handleResult(
            List<FinishedWorkflow> group,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        if (result.isRight()) {
            return;
        }
        TableError error = result.getLeft().error();
        LOG.log(LogEvent.COMPACTION_FAILED, group.size(), error.message());
        if (error.kind() != TableError.Kind.REJECTED) {
            group.forEach(it -> add(it.id(), it.workspace()));
        }
    }
}
