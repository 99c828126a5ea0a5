package org.hyssoprouter.daemon.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.hyssoprouter.daemon.http.ConfigStatus;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.internal.config.ConfigHolder;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.Row;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConfigurationServiceTest {
    private static final long MAX_AGE_MILLIS = 5_000;
    private static final long CALL_DURATION_MILLIS = 20;

    private final FakeTableService mTable = new FakeTableService();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(4);
    private final AtomicLong mNowMillis = new AtomicLong(1_000);
    private final List<FakeDaemon> mDaemons = new ArrayList<>();

    @AfterEach
    void tearDown() {
        mDaemons.forEach(daemon -> daemon.mService.stop());
        mTimer.shutdownNow();
    }

    @Test
    void concurrentChangesAcceptOneAndRefuseTheOtherWithConflict() {
        FakeDaemon first = new FakeDaemon("e1");
        FakeDaemon second = new FakeDaemon("e2");
        CompletableFuture<Either<Refusal, ConfigStatus>> one =
                first.mService.put(document(0, "ana"), 0);
        CompletableFuture<Either<Refusal, ConfigStatus>> two =
                second.mService.put(document(0, "ben"), 0);
        List<Either<Refusal, ConfigStatus>> results = List.of(one.join(), two.join());
        assertEquals(1, results.stream().filter(Either::isRight).count());
        Refusal refusal = results.stream().filter(Either::isLeft).findFirst().get().getLeft();
        assertEquals(RefusalCode.CONFLICT, refusal.code());
        assertTrue(refusal.message().endsWith("version 1"), refusal.message());
        assertEquals(1, first.mService.history().join().get().size());
        assertEquals(1, first.mHolder.version());
        assertEquals(1, second.mHolder.version());
    }

    @Test
    void acceptedOnlyWhenEveryLiveDaemonAppliesTheVersion() {
        FakeDaemon first = new FakeDaemon("e1");
        FakeDaemon second = new FakeDaemon("e2");
        ConfigStatus status = first.mService.put(document(0, "ana"), 0).join().get();
        assertTrue(status.accepted());
        assertEquals(List.of("e1", "e2"), status.inForceOn());
        assertEquals(1, second.mHolder.version());
        second.mUnreachable = true;
        ConfigStatus unconfirmed = first.mService.status().join().get();
        assertFalse(unconfirmed.accepted());
        assertEquals(List.of("e2"), unconfirmed.pendingOn());
    }

    @Test
    void ignoresOlderRowAndRefusesChangesDuringTableOutage() {
        FakeDaemon daemon = new FakeDaemon("e1");
        daemon.mService.put(document(0, "ana"), 0).join();
        Row olderRow = mTable.read(List.of(ConfigDocument.ROW_KEY)).get().get(0);
        daemon.mService.put(document(1, "ben"), 1).join();
        daemon.mService.onRow(olderRow, mNowMillis.get());
        assertEquals(2, daemon.mHolder.version());
        mTable.setUnavailable(true);
        Refusal refusal = daemon.mService.put(document(2, "ana"), 2).join().getLeft();
        assertEquals(RefusalCode.TABLE_UNAVAILABLE, refusal.code());
        assertTrue(refusal.retryAfterMillis() > 0);
    }

    @Test
    void staleDaemonsDoNotConfirmEachOthersConfiguration() {
        FakeDaemon first = new FakeDaemon("e1");
        FakeDaemon second = new FakeDaemon("e2");
        first.mService.put(document(0, "ana"), 0).join();
        mTable.setUnavailable(true);
        mNowMillis.addAndGet(MAX_AGE_MILLIS + 1);
        assertTrue(first.mFreshView.current().isEmpty());
        first.mService.start();
        second.mService.start();
        Awaitility.await().until(() -> first.mCalls.get() > 3 && second.mCalls.get() > 3);
        assertTrue(first.mFreshView.current().isEmpty());
        assertTrue(second.mFreshView.current().isEmpty());
        second.mFreshView.recordCheck(mNowMillis.get());
        Awaitility.await().until(() -> first.mFreshView.current().isDefined());
    }

    private static ConfigDocument document(long version, String author) {
        return new ConfigDocument(
                version,
                author,
                0,
                new ConfigDocument.Defaults(1, Room.NONE, 1, 1, 50, 10, 60_000, 1_000),
                List.of(),
                List.of());
    }

    /** Simulated daemon whose peer calls invoke the services of the other daemons directly. */
    private final class FakeDaemon implements ShardDirectory, PeerTransport {
        private final DaemonRow mRow;
        private final ConfigHolder mHolder = new ConfigHolder();
        private final FreshConfigView mFreshView =
                new FreshConfigView(mHolder, mNowMillis::get, MAX_AGE_MILLIS);
        private final AtomicLong mCalls = new AtomicLong();
        private final ConfigurationService mService;
        private volatile boolean mUnreachable;

        FakeDaemon(String name) {
            mRow = new DaemonRow(name, "i", "south", "a", "", name, 0, false);
            mService =
                    new ConfigurationService(
                            mHolder,
                            mFreshView,
                            mTable,
                            (transaction, withinMillis) ->
                                    CompletableFuture.completedFuture(
                                            mTable.commit(transaction).map(version -> true)),
                            this,
                            this,
                            mRow,
                            Clock.systemUTC(),
                            mNowMillis::get,
                            mTimer);
            mDaemons.add(this);
        }

        @Override
        public List<ShardRow> shards() {
            return List.of();
        }

        @Override
        public List<DaemonRow> liveDaemons() {
            return mDaemons.stream().map(daemon -> daemon.mRow).toList();
        }

        @Override
        public Option<OwnedShard> ownedShard(String shard) {
            return Option.none();
        }

        @Override
        public CompletableFuture<Either<CallError, byte[]>> call(
                String address,
                int type,
                TrafficClass trafficClass,
                byte[] payload,
                long timeoutMillis) {
            mCalls.incrementAndGet();
            mNowMillis.addAndGet(CALL_DURATION_MILLIS);
            for (FakeDaemon daemon : mDaemons) {
                if (daemon.mRow.peerAddress().equals(address) && !daemon.mUnreachable) {
                    return daemon.mService.onVersionCall(payload).thenApply(Either::right);
                }
            }
            return CompletableFuture.completedFuture(
                    Either.left(
                            CallError.notRun(
                                    CallError.Kind.UNREACHABLE, "simulated disconnection")));
        }
    }
}
