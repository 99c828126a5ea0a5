package org.hyssoprouter.daemon.ownership;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;

/** Asks the daemons that could take over whether the table is out for them too. */
final class OutageInquiry {
    private final PeerTransport mPeers;
    private final MonotonicClock mClock;
    private final DaemonRow mSelf;
    private final OwnershipSettings mSettings;

    OutageInquiry(
            PeerTransport peers, MonotonicClock clock, DaemonRow self, OwnershipSettings settings) {
        mPeers = peers;
        mClock = clock;
        mSelf = self;
        mSettings = settings;
    }

    /**
     * Confirms the holdings of which no recent group tells, once every peer has agreed.
     *
     * @param holdings shards of this daemon's region that it owns
     * @param rivals the other live daemons of the region
     */
    void ask(Collection<ShardHolding> holdings, List<DaemonRow> rivals) {
        long dueMillis = mSettings.confirmMillis() / 2;
        List<ShardHolding> unconfirmed =
                holdings.stream().filter(h -> h.confirmation().ageMillis() > dueMillis).toList();
        if (unconfirmed.isEmpty()) {
            return;
        }
        if (rivals.isEmpty()) {
            confirmAlone(unconfirmed);
            return;
        }
        long sentMillis = mClock.millis();
        byte[] payload = MessageCodec.encode(query(unconfirmed));
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (DaemonRow rival : rivals) {
            all = all.thenCombine(askOne(rival, payload), Boolean::logicalAnd);
        }
        CompletableFuture<Void> unused =
                all.thenAccept(agreed -> confirm(unconfirmed, agreed, sentMillis));
    }

    private TableStatusQuery query(List<ShardHolding> holdings) {
        List<TableStatusQuery.Holding> held =
                holdings.stream()
                        .map(h -> new TableStatusQuery.Holding(h.row().shard(), h.row().epoch()))
                        .toList();
        return new TableStatusQuery(mSelf.name(), mSelf.incarnation(), held);
    }

    private CompletableFuture<Boolean> askOne(DaemonRow rival, byte[] payload) {
        return mPeers.call(
                        rival.peerAddress(),
                        PeerCallType.TABLE_STATUS.number(),
                        TrafficClass.URGENT,
                        payload,
                        mSettings.confirmMillis() / 2)
                .thenApply(answer -> answer.isRight() && cannotRead(answer.get()))
                .exceptionally(failure -> false);
    }

    private static boolean cannotRead(byte[] answer) {
        try {
            return MessageCodec.decode(answer, TableStatusQuery.Answer.class).cannotRead();
        } catch (IOException e) {
            return false;
        }
    }

    private static void confirm(List<ShardHolding> holdings, boolean agreed, long sentMillis) {
        if (agreed) {
            holdings.forEach(holding -> holding.confirmation().confirm(sentMillis));
        }
    }

    // With nobody to ask, a daemon that was awake all the time may go on; one that paused may not.
    private void confirmAlone(List<ShardHolding> holdings) {
        long nowMillis = mClock.millis();
        for (ShardHolding holding : holdings) {
            if (holding.confirmation().mayAct()) {
                holding.confirmation().confirm(nowMillis);
            }
        }
    }
}
