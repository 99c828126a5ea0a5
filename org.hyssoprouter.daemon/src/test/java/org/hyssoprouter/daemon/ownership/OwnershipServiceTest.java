package org.hyssoprouter.daemon.ownership;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.journal.GroupSettings;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.InMemoryStore;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs the services of several daemons on real threads against one table in memory. */
final class OwnershipServiceTest {
    private static final OwnershipSettings SETTINGS =
            new OwnershipSettings(50, 300, 150, 80, 5, new GroupSettings(5, 50, 10, 5000));

    private final AtomicInteger mStatesSent = new AtomicInteger();
    private final InMemoryStore mTable = new InMemoryStore();
    private final Map<String, OwnershipService> mServicesByName = new ConcurrentHashMap<>();
    private final List<OwnershipService> mStartedServices = new ArrayList<>();

    @AfterEach
    void stopAll() {
        mStartedServices.forEach(OwnershipService::stop);
    }

    private OwnershipService start(String name, String incarnation) {
        DaemonRow self =
                new DaemonRow(name, incarnation, "south", "d-" + name, name, name, 0, false);
        HostInfo host =
                new HostInfo("w", "south", "d1", "r", "w", HostState.LIVE, Room.NONE, List.of());
        OwnershipService daemon =
                new OwnershipService(
                        SETTINGS,
                        self,
                        mTable,
                        mTable,
                        new HostListView(() -> Either.right(List.of(host))),
                        new Peers(),
                        RecordingShard::new,
                        MonotonicClock.system());
        mServicesByName.put(name, daemon);
        mStartedServices.add(daemon);
        daemon.start();
        return daemon;
    }

    private OwnedShard awaitShard(OwnershipService daemon) {
        await().until(() -> daemon.ownedShard("d1").isDefined());
        return daemon.ownedShard("d1").get();
    }

    private static List<ShardEvent> drainEvents(int from, int count) {
        List<ShardEvent> events = new ArrayList<>();
        for (int i = from; i < from + count; i++) {
            events.add(new ShardEvent.WorkerDrained("w" + i, true));
        }
        return events;
    }

    private static void append(OwnedShard shard, List<ShardEvent> events) {
        for (ShardEvent event : events) {
            assertTrue(shard.context().log().append(List.of(event), 0).join().isRight());
        }
    }

    @Test
    void shardOfDeadDaemonIsRecoveredByAnother() {
        OwnershipService first = start("a", "1");
        List<ShardEvent> events = drainEvents(0, 12);
        append(awaitShard(first), events);
        OwnershipService second = start("b", "1");
        first.stop();
        OwnedShard shard = awaitShard(second);
        assertEquals(2, shard.context().epoch());
        assertEquals(events, shard.snapshotEvents());
    }

    @Test
    void stoppingDaemonHandsShardOverToLivePeer() {
        OwnershipService first = start("a", "1");
        append(awaitShard(first), drainEvents(0, 3));
        OwnershipService second = start("b", "1");
        await().until(() -> first.liveDaemons().size() == 2);
        assertTrue(first.handOver().join());
        assertEquals(drainEvents(0, 3), awaitShard(second).snapshotEvents());
        assertTrue(first.ownedShard("d1").isEmpty());
        assertEquals(1, mStatesSent.get());
    }

    @Test
    void shardGoesToThirdDaemonWhenTwoStopTogether() {
        OwnershipService first = start("a", "1");
        append(awaitShard(first), drainEvents(0, 3));
        OwnershipService second = start("b", "1");
        OwnershipService third = start("c", "1");
        await().until(() -> first.liveDaemons().size() == 3 && second.liveDaemons().size() == 3);
        CompletableFuture<Boolean> both =
                second.handOver().thenCombine(first.handOver(), Boolean::logicalAnd);
        assertTrue(both.join());
        assertEquals(drainEvents(0, 3), awaitShard(third).snapshotEvents());
    }

    @Test
    void ownershipStaysConfirmedDuringTableOutage() {
        OwnershipService first = start("a", "1");
        OwnershipService second = start("b", "1");
        // A daemon without known peers could not renew a confirmation that expired in a pause.
        await().until(() -> first.liveDaemons().size() == 2 && second.liveDaemons().size() == 2);
        await().until(
                        () ->
                                first.ownedShard("d1").isDefined()
                                        || second.ownedShard("d1").isDefined());
        OwnedShard shard = first.ownedShard("d1").orElse(second.ownedShard("d1")).get();
        mTable.setUnavailable(true);
        long untilMillis = MonotonicClock.system().millis() + 3 * SETTINGS.deadAfterMillis();
        await().until(
                        () ->
                                MonotonicClock.system().millis() > untilMillis
                                        && shard.context().ownership().isConfirmed());
        mTable.setUnavailable(false);
        append(shard, drainEvents(0, 1));
    }

    private void countSentState(byte[] payload) {
        try {
            HandoverOffer offer = MessageCodec.decode(payload, HandoverOffer.class);
            mStatesSent.addAndGet(offer.events().length > 0 ? 1 : 0);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private final class Peers implements PeerTransport {
        @Override
        public CompletableFuture<Either<CallError, byte[]>> call(
                String address,
                int type,
                TrafficClass trafficClass,
                byte[] payload,
                long timeoutMillis) {
            OwnershipService peer = mServicesByName.get(address);
            if (peer == null) {
                return CompletableFuture.completedFuture(
                        Either.left(CallError.notRun(CallError.Kind.UNREACHABLE, address)));
            }
            boolean isHandover = type == PeerCallType.HANDOVER.number();
            if (isHandover) {
                countSentState(payload);
            }
            return (isHandover ? peer.onHandover(payload) : peer.onTableStatus(payload))
                    .thenApply(Either::right);
        }
    }
}
