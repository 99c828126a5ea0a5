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
    static final long GIVE_UP_MILLIS = 2_000;

    /**
     * Time for which a write is made again that the store is too busy for; a peer may do better.
     */
    private static final long BUSY_MILLIS = 250;

    private static final long RETRY_MILLIS = 60;
    private static final int MAX_ROWS = 40;
    private static final int MAX_BYTES = 600_000;

    private final PartitionTable mTable;
    private final String mPartition;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final LongConsumer mRoundTrip;
    private final List<Job> mWaiting = new ArrayList<>();
    private boolean mBusy;

    /** A row to write. */
    private static final class Job {
        final String mKey;
        final byte[] mValue;
        final long mSinceMillis;
        final CompletableFuture<SubmitResult> mResult = new CompletableFuture<>();
        boolean mOpen;

        Job(String key, byte[] value, long sinceMillis) {
            mKey = key;
            mValue = value;
            mSinceMillis = sinceMillis;
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
        mRoundTrip = roundTrip;
        mTable = table;
        mPartition = partition;
        mThread = thread;
        mClock = clock;
    }

    CompletableFuture<SubmitResult> write(String key, byte[] value) {
        Job job = new Job(key, value, mClock.millis());
        mThread.execute(
                () -> {
                    mWaiting.add(job);
                    pump();
                });
        return job.mResult;
    }

    private void pump() {
        if (mBusy || mWaiting.isEmpty()) {
            return;
        }
        List<Job> group = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        int bytes = 0;
        for (Job job : mWaiting) {
            bytes += job.mValue.length;
            boolean fits = group.size() < MAX_ROWS && (group.isEmpty() || bytes < MAX_BYTES);
            if (fits && keys.add(job.mKey)) {
                group.add(job);
            }
        }
        mWaiting.removeAll(group);
        send(group);
    }

    private void send(List<Job> group) {
        mBusy = true;
        long sentMillis = mClock.millis();
        PartitionTable.Batch batch = new PartitionTable.Batch(mPartition);
        for (Job job : group) {
            batch.check(Tables.JOBS, job.mKey, PartitionTable.ABSENT);
            batch.put(Tables.JOBS, job.mKey, job.mValue);
        }
        CompletableFuture<Void> unused =
                mTable.commit(batch)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> {
                                                    mRoundTrip.accept(mClock.millis() - sentMillis);
                                                    answered(group, result);
                                                }));
    }

    private void answered(
            List<Job> group, Either<PartitionTable.Failure, PartitionTable.Committed> result) {
        mBusy = false;
        if (result.isRight()) {
            group.forEach(job -> job.mResult.complete(SubmitResult.DONE));
            pump();
            return;
        }
        PartitionTable.Failure failure = result.getLeft();
        TableError.Kind kind = failure.error().kind();
        if (kind == TableError.Kind.CONFLICT) {
            conflicting(group, failure.current());
        } else {
            again(group, kind == TableError.Kind.UNKNOWN, failure.error());
        }
    }

    private void conflicting(List<Job> group, List<PartitionTable.Entry> current) {
        Set<String> present = new HashSet<>();
        for (PartitionTable.Entry entry : current) {
            if (entry.value() != null && entry.version() > PartitionTable.ABSENT) {
                present.add(entry.key().name());
            }
        }
        List<Job> left = new ArrayList<>();
        for (Job job : group) {
            if (present.contains(job.mKey)) {
                job.mResult.complete(SubmitResult.DONE);
            } else {
                left.add(job);
            }
        }
        mWaiting.addAll(0, left);
        pump();
    }

    private void again(List<Job> group, boolean unknown, TableError error) {
        List<Job> left = new ArrayList<>();
        long nowMillis = mClock.millis();
        for (Job job : group) {
            job.mOpen |= unknown;
            long ageMillis = nowMillis - job.mSinceMillis;
            boolean late = ageMillis > GIVE_UP_MILLIS;
            boolean busy = error.kind() == TableError.Kind.BUSY && ageMillis < BUSY_MILLIS;
            boolean wait = job.mOpen || busy;
            if (job.mOpen && late) {
                job.mResult.complete(SubmitResult.open("table: " + error.message()));
            } else if (wait && !late) {
                left.add(job);
            } else {
                job.mResult.complete(
                        SubmitResult.refused("table: " + error.message(), nextTryMillis()));
            }
        }
        mWaiting.addAll(0, left);
        mThread.schedule(
                this::pump, RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
    }

    // Spread, so that refused callers do not come back together.
    private static long nextTryMillis() {
        return ThreadLocalRandom.current().nextLong(500, 1_500);
    }
}
