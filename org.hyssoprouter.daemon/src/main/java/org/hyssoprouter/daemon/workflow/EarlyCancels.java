package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Cancellations of workflows that had no row. A submission that was under way then, at a frozen
 * daemon or in the store, takes effect later; the workflow is cancelled as soon as it is read. The
 * owner deletes the rows when no such submission can follow any more.
 */
final class EarlyCancels {
    /** Time for which a cancellation is kept: that for which the states of workflows are. */
    static final long RETENTION_MILLIS = 120_000;

    /** Interval between two deletions. */
    static final long SWEEP_INTERVAL_MILLIS = 5_000;

    /** Rows of a transaction, each with a check and a deletion. */
    private static final int MAX_ROWS_PER_COMMIT = 40;

    private static final EventLogger LOG = EventLogger.of(EarlyCancels.class);

    private final PartitionTable mTable;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final StoreClock mStoreClock;

    /** Cancellations by the key of their row, by identifier of the workflow. */
    private final Map<String, Map<PartitionTable.Key, EarlyCancel>> mCancels = new HashMap<>();

    private final Set<String> mOpenPartitions = new HashSet<>();
    private long mLastSweepMillis;

    /** Cancellation, the version of its row, and the end of its retention on the local clock. */
    private record EarlyCancel(String workspace, long version, long expiryMillis) {}

    /** A row to delete. */
    private record ExpiredRow(String id, PartitionTable.Key key, long version) {}

    EarlyCancels(
            PartitionTable table,
            SerialExecutor thread,
            MonotonicClock clock,
            StoreClock storeClock) {
        mTable = table;
        mThread = thread;
        mClock = clock;
        mStoreClock = storeClock;
    }

    /** Records a row that was read. */
    void put(PartitionTable.Key key, long version, EarlyCancelRow row) {
        long expiryMillis = mStoreClock.toLocalMillis(row.storeMillis()) + RETENTION_MILLIS;
        mCancels.computeIfAbsent(
                        Schema.workflowIdOfEarlyCancelKey(key.name()), id -> new HashMap<>())
                .put(key, new EarlyCancel(row.workspace(), version, expiryMillis));
    }

    /** Forgets a row that was deleted. */
    void remove(PartitionTable.Key key) {
        String id = Schema.workflowIdOfEarlyCancelKey(key.name());
        Map<PartitionTable.Key, EarlyCancel> cancels = mCancels.get(id);
        if (cancels != null) {
            cancels.remove(key);
            if (cancels.isEmpty()) {
                mCancels.remove(id);
            }
        }
    }

    /** Returns whether a caller that may see a workflow of a workspace has cancelled it. */
    boolean contains(String id, String workspace) {
        return mCancels.getOrDefault(id, Map.of()).values().stream()
                .anyMatch(it -> WorkflowStatus.isVisible(workspace, it.workspace()));
    }

    /**
     * Deletes rows whose retention has ended, at most once per interval.
     *
     * @param isNeeded whether a workflow depends on them, as its terminal state is not durable yet
     */
    void deleteExpiredIfDue(Predicate<String> isNeeded) {
        long nowMillis = mClock.millis();
        if (mCancels.isEmpty() || nowMillis - mLastSweepMillis < SWEEP_INTERVAL_MILLIS) {
            return;
        }
        mLastSweepMillis = nowMillis;
        Map<String, List<ExpiredRow>> expired = new HashMap<>();
        mCancels.forEach(
                (id, cancels) -> {
                    if (!isNeeded.test(id)) {
                        cancels.forEach(
                                (key, cancel) -> {
                                    if (cancel.expiryMillis() <= nowMillis) {
                                        expired.computeIfAbsent(
                                                        key.partition(), it -> new ArrayList<>())
                                                .add(new ExpiredRow(id, key, cancel.version()));
                                    }
                                });
                    }
                });
        expired.forEach(this::delete);
    }

    private void delete(String partition, List<ExpiredRow> rows) {
        if (!mOpenPartitions.add(partition)) {
            return;
        }
        List<ExpiredRow> group =
                List.copyOf(rows.subList(0, Math.min(MAX_ROWS_PER_COMMIT, rows.size())));
        PartitionTable.Batch batch = new PartitionTable.Batch(partition);
        for (ExpiredRow row : group) {
            batch.check(Schema.JOBS, row.key().name(), row.version());
            batch.delete(Schema.JOBS, row.key().name());
        }
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mTable.commit(batch),
                                "deletion of cancellations",
                                PartitionTable.CommitFailure::unknownOutcome)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> handleResult(partition, group, result)));
    }

    private void handleResult(
            String partition,
            List<ExpiredRow> group,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        mOpenPartitions.remove(partition);
        if (result.isRight()) {
            group.forEach(row -> remove(row.key()));
            LOG.log(LogEvent.EARLY_CANCELS_DELETED, partition, group.size(), "deleted");
            return;
        }
        PartitionTable.CommitFailure failure = result.getLeft();
        LOG.log(LogEvent.EARLY_CANCELS_DELETED, partition, group.size(), failure.error().message());
        forgetMissing(group, failure);
    }

    /** After a conflict, rows that are gone are forgotten; changed ones are read again anyway. */
    private void forgetMissing(List<ExpiredRow> group, PartitionTable.CommitFailure failure) {
        if (failure.error().kind() != TableError.Kind.CONFLICT) {
            return;
        }
        Set<String> present = new HashSet<>();
        failure.currentRows().forEach(it -> present.add(it.key().name()));
        group.stream()
                .filter(row -> !present.contains(row.key().name()))
                .forEach(row -> remove(row.key()));
    }
}
