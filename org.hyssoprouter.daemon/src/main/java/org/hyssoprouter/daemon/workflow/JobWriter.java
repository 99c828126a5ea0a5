package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongConsumer;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Writes rows to one partition of the jobs table. Workflows and their cancellations are only
 * created, never replaced: one that exists already counts as written. Rows that arrive while a
 * transaction is in flight go into the next one.
 */
final class JobWriter {
    private static final EventLogger LOG = EventLogger.of(JobWriter.class);

    /** Time for which a write with an unknown outcome is retried. */
    static final long MAX_RETRY_MILLIS = 2_000;

    /** Time for which a write is retried while the store is too busy; a peer may then be served. */
    private static final long BUSY_RETRY_MILLIS = 250;

    private static final long RETRY_DELAY_MILLIS = 60;
    private static final long NONE = -1;
    private static final int MAX_ROWS = 40;
    private static final int MAX_BYTES = 600_000;

    private final PartitionTable mTable;
    private final String mPartition;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final LongConsumer mRoundTripListener;
    private final List<PendingRow> mPendingRows = new ArrayList<>();
    private boolean mCommitInFlight;

    /** Maximum number of rows in the next transaction; lowered to find rows that are rejected. */
    private int mMaxRows = MAX_ROWS;

    /** Time at which the transaction in flight was sent; {@link #NONE} if there is none. */
    private volatile long mSentMillis = NONE;

    /** Row to write, and the result for its caller. */
    private static final class PendingRow {
        final String mKey;
        final byte[] mValue;
        final boolean mReplaces;
        final long mSubmittedMillis;
        final CompletableFuture<SubmitResult> mResult = new CompletableFuture<>();
        boolean mMayBeWritten;

        PendingRow(String key, byte[] value, boolean replaces, long submittedMillis) {
            mKey = key;
            mValue = value;
            mReplaces = replaces;
            mSubmittedMillis = submittedMillis;
        }
    }

    /**
     * Creates a writer.
     *
     * @param roundTripListener receives the duration of each call to the store, in milliseconds
     */
    JobWriter(
            PartitionTable table,
            String partition,
            SerialExecutor thread,
            MonotonicClock clock,
            LongConsumer roundTripListener) {
        mRoundTripListener = roundTripListener;
        mTable = table;
        mPartition = partition;
        mThread = thread;
        mClock = clock;
    }

    /** Enqueues a row to create. */
    CompletableFuture<SubmitResult> write(String key, byte[] value) {
        return write(new PendingRow(key, value, false, mClock.millis()));
    }

    /** Enqueues a row to create or to replace. */
    CompletableFuture<SubmitResult> replace(String key, byte[] value) {
        return write(new PendingRow(key, value, true, mClock.millis()));
    }

    private CompletableFuture<SubmitResult> write(PendingRow row) {
        mThread.execute(
                () -> {
                    mPendingRows.add(row);
                    sendNextBatch();
                });
        return row.mResult;
    }

    /** Returns the time since the transaction in flight was sent, in milliseconds; 0 if none is. */
    long openMillis() {
        long sentMillis = mSentMillis;
        return sentMillis == NONE ? 0 : mClock.millis() - sentMillis;
    }

    private void sendNextBatch() {
        if (mCommitInFlight || mPendingRows.isEmpty()) {
            return;
        }
        List<PendingRow> group = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int bytes = 0;
        for (PendingRow row : mPendingRows) {
            bytes += row.mValue.length;
            boolean fits = group.size() < mMaxRows && (group.isEmpty() || bytes < MAX_BYTES);
            if (fits && keys.add(row.mKey)) {
                group.add(row);
            }
        }
        mPendingRows.removeAll(group);
        send(group);
    }

    private void send(List<PendingRow> group) {
        mCommitInFlight = true;
        long sentMillis = mClock.millis();
        mSentMillis = sentMillis;
        PartitionTable.Batch batch = new PartitionTable.Batch(mPartition);
        for (PendingRow row : group) {
            if (!row.mReplaces) {
                batch.check(Schema.JOBS, row.mKey, PartitionTable.ABSENT);
            }
            batch.put(Schema.JOBS, row.mKey, row.mValue);
        }
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mTable.commit(batch),
                                "commit",
                                PartitionTable.CommitFailure::unknownOutcome)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> handleResult(group, result, sentMillis)));
    }

    private void handleResult(
            List<PendingRow> group,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result,
            long sentMillis) {
        mCommitInFlight = false;
        mSentMillis = NONE;
        // A refusal shows neither the distance of the store nor the duration of a transaction.
        if (result.isRight() || !result.getLeft().error().isWithoutEffect()) {
            mRoundTripListener.accept(mClock.millis() - sentMillis);
        }
        if (result.isRight()) {
            mMaxRows = Math.min(MAX_ROWS, 2 * mMaxRows);
            group.forEach(row -> row.mResult.complete(SubmitResult.DONE));
            sendNextBatch();
            return;
        }
        PartitionTable.CommitFailure failure = result.getLeft();
        TableError.Kind kind = failure.error().kind();
        if (kind == TableError.Kind.CONFLICT) {
            handleConflict(group, failure.currentRows());
        } else if (kind == TableError.Kind.REJECTED) {
            handleRejection(group, failure.error());
        } else {
            retryOrFail(group, kind == TableError.Kind.UNKNOWN, failure.error());
        }
    }

    /** Fails a row that is rejected by itself; tries others in smaller groups. */
    private void handleRejection(List<PendingRow> group, TableError error) {
        if (group.size() > 1) {
            mMaxRows = group.size() / 2;
            mPendingRows.addAll(0, group);
        } else {
            String reason = "table write rejected: " + error.message();
            group.forEach(row -> row.mResult.complete(SubmitResult.neverRuns(reason)));
        }
        sendNextBatch();
    }

    private void handleConflict(List<PendingRow> group, List<PartitionTable.Entry> current) {
        Map<String, byte[]> present = new HashMap<>();
        for (PartitionTable.Entry entry : current) {
            byte[] value = entry.value();
            if (value != null && entry.version() > PartitionTable.ABSENT) {
                present.put(entry.key().name(), value);
            }
        }
        List<PendingRow> remaining = new ArrayList<>();
        for (PendingRow row : group) {
            byte[] existing = present.get(row.mKey);
            if (existing != null) {
                row.mResult.complete(resultOfPresentRow(row, existing));
            } else {
                remaining.add(row);
            }
        }
        mPendingRows.addAll(0, remaining);
        sendNextBatch();
    }

    /** A row of another workspace with the same key is not the row to write. */
    private static SubmitResult resultOfPresentRow(PendingRow row, byte[] existing) {
        if (Schema.isCancelKey(row.mKey)) {
            return SubmitResult.DONE;
        }
        try {
            boolean visible =
                    WorkflowStatus.isVisible(
                            Schema.workspaceOfJob(existing), Schema.workspaceOfJob(row.mValue));
            return visible ? SubmitResult.DONE : SubmitResult.ID_IN_USE;
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, row.mKey, e.getMessage());
            return SubmitResult.mayHaveRun("row exists, but cannot be read");
        }
    }

    private void retryOrFail(List<PendingRow> group, boolean unknown, TableError error) {
        List<PendingRow> remaining = new ArrayList<>();
        long nowMillis = mClock.millis();
        for (PendingRow row : group) {
            row.mMayBeWritten |= unknown;
            long ageMillis = nowMillis - row.mSubmittedMillis;
            boolean expired = ageMillis > MAX_RETRY_MILLIS;
            boolean busy = error.kind() == TableError.Kind.BUSY && ageMillis < BUSY_RETRY_MILLIS;
            boolean retry = row.mMayBeWritten || busy;
            if (row.mMayBeWritten && expired) {
                row.mResult.complete(
                        SubmitResult.mayHaveRun(
                                "outcome of table write unknown: " + error.message()));
            } else if (retry && !expired) {
                remaining.add(row);
            } else {
                row.mResult.complete(
                        SubmitResult.notRun(
                                "table write failed: " + error.message(),
                                randomRetryAfterMillis()));
            }
        }
        mPendingRows.addAll(0, remaining);
        mThread.schedule(
                this::sendNextBatch,
                RETRY_DELAY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_DELAY_MILLIS));
    }

    // Randomized, so that rejected callers do not retry at the same time.
    private static long randomRetryAfterMillis() {
        return ThreadLocalRandom.current().nextLong(500, 1_500);
    }
}
