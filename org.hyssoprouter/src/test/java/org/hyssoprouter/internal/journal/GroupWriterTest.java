package org.hyssoprouter.internal.journal;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.InMemoryStore;
import org.hyssoprouter.transport.InMemoryStore.Fault;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;

/**
 * Random appends and commits against a table that loses replies, delays commits and has outages.
 * Guards against acknowledged events that are missing, duplicated or reordered in the journal, and
 * against rejected writes that are committed nevertheless.
 */
final class GroupWriterTest {
    private static final GroupSettings SETTINGS = new GroupSettings(20, 1000, 100, 1000);
    private static final String SHARD_KEY = "cell/shard/s";
    private static final int STEPS = 300;
    private static final int JOBS = 8;
    private static final String OTHER_CLIENT = "other client";

    @Property(seed = "7201", tries = 300, shrinking = ShrinkingMode.OFF)
    void acknowledgedEventsAreJournaledOnceAndInOrder(@ForAll long seed) {
        new Scenario(seed).run();
    }

    private static final class Scenario {
        private final InMemoryStore mTable = new InMemoryStore();
        private final List<String> mAcknowledged = new ArrayList<>();
        private final List<String> mRejected = new ArrayList<>();
        private final List<String> mCommitted = new ArrayList<>();
        private final List<String> mNotCommitted = new ArrayList<>();
        private final Random mRandom;
        private final Set<String> mDeletedByOtherClient = new TreeSet<>();
        private long mNowMillis;
        private boolean mFaulty = true;
        private boolean mOwnershipLost;

        Scenario(long seed) {
            mRandom = new Random(seed);
        }

        void run() {
            long rowVersion = mTable.commit(Transaction.create().put(SHARD_KEY, new byte[0])).get();
            GroupWriter writer =
                    new GroupWriter(
                            new FaultyTable(), new TestHeartbeatRow(), SETTINGS, () -> mNowMillis);
            TransactionQueue queue = new TransactionQueue(writer, () -> mNowMillis);
            Journal journal =
                    new Journal(
                            "s",
                            1,
                            SHARD_KEY,
                            rowVersion,
                            writer,
                            () -> mNowMillis,
                            new RecordingListener());
            journal.open();
            long ownershipLossStep = mRandom.nextInt(2 * STEPS);
            for (int step = 0; step < STEPS; step++) {
                performRandomCalls(journal, queue, step);
                if (step == ownershipLossStep) {
                    mTable.setUnavailable(false);
                    mTable.commit(Transaction.create().put(SHARD_KEY, new byte[0]));
                }
                mNowMillis += Math.min(writer.step(), mRandom.nextInt(60));
            }
            mFaulty = false;
            mTable.setUnavailable(false);
            mTable.applyLateTransactions();
            for (int step = 0; step < STEPS; step++) {
                mNowMillis += writer.step();
            }
            check(ownershipLossStep < STEPS);
        }

        private void performRandomCalls(Journal journal, TransactionQueue queue, int step) {
            if (mRandom.nextInt(100) < 3) {
                mTable.setUnavailable(mRandom.nextBoolean());
            }
            if (mRandom.nextInt(100) < 10) {
                mTable.applyLateTransactions();
            }
            if (mRandom.nextInt(100) < 40) {
                writeFromOtherClient();
            }
            long withinMillis = mRandom.nextBoolean() ? 0 : mRandom.nextInt(300);
            if (mRandom.nextInt(100) < 60) {
                String name = "e" + step;
                CompletableFuture<?> unused =
                        journal.append(List.of(new ShardEvent.JobCancelled(name)), withinMillis)
                                .whenComplete(
                                        (r, e) ->
                                                (r.isRight() ? mAcknowledged : mRejected)
                                                        .add(name));
            }
            if (mRandom.nextInt(100) < 20) {
                String key = "job/" + mRandom.nextInt(JOBS);
                String name = key + "=" + step;
                Transaction claim =
                        Transaction.create()
                                .check(key, Transaction.ABSENT)
                                .put(key, name.getBytes(UTF_8));
                CompletableFuture<?> unused =
                        queue.commit(claim, withinMillis)
                                .whenComplete(
                                        (r, e) ->
                                                (r.isRight() ? mCommitted : mNotCommitted)
                                                        .add(name));
            }
        }

        private void check(boolean isLossExpected) {
            List<String> found =
                    new Recovery(mTable, mTable)
                            .read("s", "", 0).get().events().stream()
                                    .map(event -> ((ShardEvent.JobCancelled) event).job())
                                    .toList();
            assertEquals(mAcknowledged, found, "events acknowledged and events in the journal");
            assertTrue(
                    found.stream().noneMatch(mRejected::contains),
                    "an event that was rejected is in the journal");
            assertEquals(isLossExpected, mOwnershipLost);
            Set<String> jobs = values("job/");
            assertTrue(
                    jobs.stream().noneMatch(mNotCommitted::contains),
                    "a claim that was rejected is committed");
            mCommitted.removeAll(mDeletedByOtherClient);
            jobs.remove(OTHER_CLIENT);
            assertEquals(new TreeSet<>(mCommitted), jobs);
        }

        private Set<String> values(String prefix) {
            return mTable.scan(prefix).get().stream()
                    .map(row -> new String(row.value(), UTF_8))
                    .collect(Collectors.toCollection(TreeSet::new));
        }

        // Another client creates and deletes rows whose absence the claims check.
        private void writeFromOtherClient() {
            String key = "job/" + mRandom.nextInt(JOBS);
            Transaction write = Transaction.create();
            if (mTable.scan(key).map(List::isEmpty).getOrElse(true)) {
                write.put(key, OTHER_CLIENT.getBytes(UTF_8));
            } else {
                mDeletedByOtherClient.addAll(values(key));
                write.delete(key);
            }
            mTable.commit(write);
        }

        private final class FaultyTable implements TableService {
            @Override
            public Either<TableError, List<Row>> read(Collection<String> keys) {
                return mTable.read(keys);
            }

            @Override
            public Either<TableError, List<Row>> scan(String prefix) {
                return mTable.scan(prefix);
            }

            @Override
            public Either<TableError, Long> commit(Transaction transaction) {
                boolean isFault = mFaulty && mRandom.nextInt(100) < 40;
                Fault[] faults = Fault.values();
                return mTable.commit(
                        transaction, isFault ? faults[mRandom.nextInt(faults.length)] : Fault.NONE);
            }
        }

        private static final class TestHeartbeatRow implements HeartbeatRow {
            @Override
            public String key() {
                return "cell/daemon/a";
            }

            @Override
            public byte[] encode(long sequence) {
                return ByteBuffer.allocate(Long.BYTES).putLong(sequence).array();
            }

            @Override
            public Option<Long> sequenceOf(byte[] value) {
                return Option.some(ByteBuffer.wrap(value).getLong());
            }
        }

        private final class RecordingListener implements Journal.Listener {
            @Override
            public void onConfirmed(long startedMillis) {
                assertFalse(mOwnershipLost, "confirmed after the ownership was lost");
            }

            @Override
            public void onOwnershipLost() {
                mOwnershipLost = true;
            }
        }
    }
}
