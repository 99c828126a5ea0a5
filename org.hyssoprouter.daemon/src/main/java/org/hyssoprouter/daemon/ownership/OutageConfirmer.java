package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Option;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.RegionPeers;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;

/** Asks the daemons that could take over whether the table is out for them too. */
final class OutageConfirmer {
    private final PeerTransport mPeers;
    private final MonotonicClock mClock;
    private final DaemonRow mSelf;
    private final RegionPeers mRivals;
    private final OwnershipSettings mSettings;

    OutageConfirmer(
            PeerTransport peers,
            MonotonicClock clock,
            DaemonRow self,
            RegionPeers rivals,
            OwnershipSettings settings) {
        mPeers = peers;
        mClock = clock;
        mSelf = self;
        mRivals = rivals;
        mSettings = settings;
    }

    /**
     * Confirms the holdings of which no recent group tells, once every rival has agreed.
     *
     * @param holdings shards of this daemon's region that it owns
     */
    void confirmWithRivals(Collection<ShardHolding> holdings) {
        long dueMillis = mSettings.confirmMillis() / 2;
        List<ShardHolding> unconfirmed =
                holdings.stream().filter(h -> h.confirmation().ageMillis() > dueMillis).toList();
        if (unconfirmed.isEmpty()) {
            return;
        }
        List<RegionPeers.Peer> asked = mRivals.all();
        if (asked.isEmpty()) {
            confirmWithoutRivals(unconfirmed);
            return;
        }
        long sentMillis = mClock.millis();
        byte[] payload = MessageCodec.encode(createQuery(unconfirmed));
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (RegionPeers.Peer rival : asked) {
            all = all.thenCombine(queryRival(rival, payload), Boolean::logicalAnd);
        }
        CompletableFuture<Void> unused =
                all.thenAccept(agreed -> confirm(unconfirmed, agreed, asked, sentMillis));
    }

    /** Makes this daemon known to the others of its region, whatever they answer. */
    void announce(List<DaemonRow> others) {
        byte[] payload = MessageCodec.encode(createQuery(List.of()));
        for (DaemonRow other : others) {
            CompletableFuture<?> unused = send(other.peerAddress(), payload);
        }
    }

    private TableStatusQuery createQuery(List<ShardHolding> holdings) {
        List<TableStatusQuery.Holding> held =
                holdings.stream()
                        .map(h -> new TableStatusQuery.Holding(h.row().shard(), h.row().epoch()))
                        .toList();
        RegionPeers.Peer self = new RegionPeers.Peer(mSelf.name(), mSelf.peerAddress());
        return new TableStatusQuery(self, mSelf.region(), mSelf.incarnation(), held);
    }

    private CompletableFuture<Boolean> queryRival(RegionPeers.Peer rival, byte[] payload) {
        return send(rival.peerAddress(), payload)
                .thenApply(answer -> answer.exists(this::handleAnswer))
                .exceptionally(failure -> false);
    }

    private CompletableFuture<Option<TableStatusQuery.Answer>> send(
            String address, byte[] payload) {
        return mPeers.call(
                        address,
                        PeerCallType.TABLE_STATUS.number(),
                        TrafficClass.URGENT,
                        payload,
                        mSettings.confirmMillis() / 2)
                .thenApply(answer -> answer.toOption().flatMap(OutageConfirmer::decode));
    }

    private static Option<TableStatusQuery.Answer> decode(byte[] answer) {
        try {
            return Option.some(MessageCodec.decode(answer, TableStatusQuery.Answer.class));
        } catch (IOException e) {
            return Option.none();
        }
    }

    private boolean handleAnswer(TableStatusQuery.Answer answer) {
        answer.rivals().forEach(rival -> mRivals.addDiscovered(rival, mClock.millis()));
        return answer.cannotRead();
    }

    private void confirm(
            List<ShardHolding> holdings,
            boolean agreed,
            List<RegionPeers.Peer> asked,
            long sentMillis) {
        // A rival that came to be known in the meantime has to be asked first.
        if (agreed && asked.containsAll(mRivals.all())) {
            holdings.forEach(holding -> holding.confirmation().confirm(sentMillis));
        }
    }

    // With nobody to ask, a daemon that was awake all the time may go on; one that paused may not.
    private void confirmWithoutRivals(List<ShardHolding> holdings) {
        long nowMillis = mClock.millis();
        for (ShardHolding holding : holdings) {
            if (holding.confirmation().isConfirmed()) {
                holding.confirmation().confirm(nowMillis);
            }
        }
    }
}
