package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An owner with ten peers, of which some are gone. */
class TakeoverCoordinatorTest {
    private static final int PEERS = 10;

    private final MembersTable mTable = new MembersTable();
    private final WorkflowSettings mSettings =
            new WorkflowSettings(
                    "owner",
                    "run",
                    "127.0.0.1:1",
                    new SchedulerLimits(6_000, 900, 2_500),
                    1_500,
                    1);
    private final MemberRegistry mMembers =
            new MemberRegistry(
                    mTable.as("owner"),
                    mSettings,
                    (task, delayMillis) -> {},
                    MonotonicClock.system(),
                    millis -> {});
    private final SilentPeers mPeers = new SilentPeers();
    private final TakeoverCoordinator mCoordinator =
            new TakeoverCoordinator(
                    new Election(mSettings, 0), mMembers, mPeers, new SteppedExecutor(), () -> {});

    /** Peers that never answer; records the addresses that are called. */
    private static final class SilentPeers implements PeerTransport {
        private final TreeSet<String> mCalled = new TreeSet<>();

        @Override
        public CompletableFuture<Either<CallError, byte[]>> call(
                String address, int type, TrafficClass trafficClass, byte[] payload, long timeout) {
            mCalled.add(address);
            return new CompletableFuture<>();
        }
    }

    @BeforeEach
    void start() {
        mMembers.start();
        for (int i = 0; i < PEERS; i++) {
            mTable.put(peer(i, "run"));
        }
        awaitPeers(PEERS);
    }

    @AfterEach
    void stop() {
        mMembers.stop();
    }

    private static MemberRow peer(int number, String incarnation) {
        return new MemberRow("peer" + number, incarnation, "address" + number, 1);
    }

    private void awaitPeers(int count) {
        await().until(() -> mMembers.others().size() == count);
    }

    private List<String> calledForTakeover() {
        mPeers.mCalled.clear();
        mCoordinator.requestTakeover(1);
        return List.copyOf(mPeers.mCalled);
    }

    // Guards against a takeover that is asked of hosts that are gone.
    @Test
    void onlyListedPeersAreAskedToTakeOver() {
        for (int i = 1; i < PEERS; i++) {
            mMembers.remove(peer(i, "run"), "test").join();
            awaitPeers(PEERS - i);
            assertEquals(PEERS - i, calledForTakeover().size(), "peers asked");
        }
        assertEquals(List.of("address0"), calledForTakeover());
        mTable.put(peer(7, "next"));
        awaitPeers(2);
        assertEquals(List.of("address0", "address7"), calledForTakeover());
    }

    // Guards against a silent peer that delays the request to those that live.
    @Test
    void peersThatAreGoneButListedDelayNoOther() {
        assertEquals(PEERS, calledForTakeover().size(), "asked beside each other");
    }
}
