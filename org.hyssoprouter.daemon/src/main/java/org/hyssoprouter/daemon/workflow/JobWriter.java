package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongConsumer;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Writes rows of one partition of the jobs that must not exist yet; a row that exists counts as
 * written. Rows that arrive while a transaction is open go into the next one.
 */
final class JobWriter {
    /** Time for which a write whose outcome is unknown is made again. */
    static final long MAX_RETRY_MILLIS = 2_000;

    /**
     * Time for which a write is made again that the store is too busy for; a peer may do better.
     */
    private static final long BUSY_RETRY_MILLIS = 250;

    private static final long RETRY_DELAY_MILLIS = 60;
    private static final int MAX_ROWS = 40;
    private static final int MAX_BYTES = 600_000;

    private final PartitionTable mTable;
    private final String mPartition;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final LongConsumer mRoundTripListener;
    private final List<PendingRow> mPendingRows = new ArrayList<>();
    private boolean mCommitInFlight;

    /** A row to write. */
    private static final class PendingRow {
        final String mKey;
        final byte[] mValue;
        final long mSubmittedMillis;
        final CompletableFuture<SubmitResult> mResult = new CompletableFuture<>();
        boolean mMayBeWritten;

        PendingRow(String key, byte[] value, long sinceMillis) {
            mKey = key;
            mValue = value;
            mSubmittedMillis = sinceMillis;
        }
    }

    /**
     * Creates a writer.
     *
     * @param roundTrip hears how long a call to the store takes, in milliseconds
     */
    JobWriter(
            PartitionTable table,
            String partition,
            SerialExecutor thread,
            MonotonicClock clock,
            LongConsumer roundTrip) {
        mRoundTripListener = roundTrip;
        mTable = table;
        mPartition = partition;
        mThread = thread;
        mClock = clock;
    }

    CompletableFuture<SubmitResult> write(String key, byte[] value) {
        PendingRow job = new PendingRow(key, value, mClock.millis());
        mThread.execute(
                () -> {
                    mPendingRows.add(job);
                    sendNextBatch();
                });
        return job.mResult;
    }

    private void sendNextBatch() {
        if (mCommitInFlight || mPendingRows.isEmpty()) {
            return;
        }
        List<PendingRow> group = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int bytes = 0;
        for (PendingRow job : mPendingRows) {
            bytes += job.mValue.length;
            boolean fits = group.size() < MAX_ROWS && (group.isEmpty() || bytes < MAX_BYTES);
            if (fits && keys.add(job.mKey)) {
                group.add(job);
            }
        }
        mPendingRows.removeAll(group);
        send(group);
    }

    private void send(List<PendingRow> group) {
        mCommitInFlight = true;
        long sentMillis = mClock.millis();
        PartitionTable.Batch batch = new PartitionTable.Batch(mPartition);
        for (PendingRow job : group) {
            batch.check(Schema.JOBS, job.mKey, PartitionTable.ABSENT);
            batch.put(Schema.JOBS, job.mKey, job.mValue);
        }
        CompletableFuture<Void> unused =
                mTable.commit(batch)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> {
                                                    mRoundTripListener.accept(
                                                            mClock.millis() - sentMillis);
                                                    handleResult(group, result);
                                                }));
    }

    private void handleResult(
            List<PendingRow> group,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        mCommitInFlight = false;
        if (result.isRight()) {
            group.forEach(job -> job.mResult.complete(SubmitResult.DONE));
            sendNextBatch();
            return;
        }
        PartitionTable.CommitFailure failure = result.getLeft();
        TableError.Kind kind = failure.error().kind();
        if (kind == TableError.Kind.CONFLICT) {
            handleConflict(group, failure.currentRows());
        } else {
            retryOrFail(group, kind == TableError.Kind.UNKNOWN, failure.error());
        }
    }

    private void handleConflict(List<PendingRow> group, List<PartitionTable.Entry> current) {
        Set<String> present = new HashSet<>();
        for (PartitionTable.Entry entry : current) {
            if (entry.value() != null && entry.version() > PartitionTable.ABSENT) {
                present.add(entry.key().name());
            }
        }
        List<PendingRow> left = new ArrayList<>();
        for (PendingRow job : group) {
            if (present.contains(job.mKey)) {
                job.mResult.complete(SubmitResult.DONE);
            } else {
                left.add(job);
            }
        }
        mPendingRows.addAll(0, left);
        sendNextBatch();
    }

    private void retryOrFail(List<PendingRow> group, boolean unknown, TableError error) {
        List<PendingRow> left = new ArrayList<>();
        long nowMillis = mClock.millis();
        for (PendingRow job : group) {
            job.mMayBeWritten |= unknown;
            long ageMillis = nowMillis - job.mSubmittedMillis;
            boolean late = ageMillis > MAX_RETRY_MILLIS;
            boolean busy = error.kind() == TableError.Kind.BUSY && ageMillis < BUSY_RETRY_MILLIS;
            boolean wait = job.mMayBeWritten || busy;
            if (job.mMayBeWritten && late) {
                job.mResult.complete(SubmitResult.mayHaveRun("table: " + error.message()));
            } else if (wait && !late) {
                left.add(job);
            } else {
                job.mResult.complete(
                        SubmitResult.notRun("table: " + error.message(), randomRetryAfterMillis()));
            }
        }
        mPendingRows.addAll(0, left);
        mThread.schedule(
                this::sendNextBatch,
                RETRY_DELAY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_DELAY_MILLIS));
    }

    // Spread, so that refused callers do not come back together.
    private static long randomRetryAfterMillis() {
        return ThreadLocalRandom.current().nextLong(500, 1_500);
    }
}
