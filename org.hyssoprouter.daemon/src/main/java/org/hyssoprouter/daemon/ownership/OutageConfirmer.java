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

/**
 * Confirms ownership during an outage of the table, by querying the peers that could take the
 * shards over whether they cannot read the table either.
 */
final class OutageConfirmer {
    private final PeerTransport mPeers;
    private final MonotonicClock mClock;
    private final DaemonRow mSelf;
    private final RegionPeers mRegionPeers;
    private final OwnershipSettings mSettings;

    OutageConfirmer(
            PeerTransport peers,
            MonotonicClock clock,
            DaemonRow self,
            RegionPeers regionPeers,
            OwnershipSettings settings) {
        mPeers = peers;
        mClock = clock;
        mSelf = self;
        mRegionPeers = regionPeers;
        mSettings = settings;
    }

    /**
     * Confirms the holdings that no recent group has confirmed, if every peer of the region
     * promises not to take them over.
     *
     * @param holdings shards of this daemon's region that it owns
     */
    void confirmWithPeers(Collection<ShardHolding> holdings) {
        long dueMillis = mSettings.confirmMillis() / 2;
        List<ShardHolding> unconfirmed =
                holdings.stream().filter(h -> h.confirmation().ageMillis() > dueMillis).toList();
        if (unconfirmed.isEmpty()) {
            return;
        }
        List<RegionPeers.Peer> queried = mRegionPeers.all();
        if (queried.isEmpty()) {
            confirmWithoutPeers(unconfirmed);
            return;
        }
        long sentMillis = mClock.millis();
        byte[] payload = MessageCodec.encode(createQuery(unconfirmed));
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (RegionPeers.Peer peer : queried) {
            all = all.thenCombine(queryPeer(peer, payload), Boolean::logicalAnd);
        }
        CompletableFuture<Void> unused =
                all.thenAccept(agreed -> confirmIfAgreed(unconfirmed, agreed, queried, sentMillis));
    }

    /** Announces this daemon to others, so that they query it too; ignores their answers. */
    void announce(List<DaemonRow> others) {
        byte[] payload = MessageCodec.encode(createQuery(List.of()));
        for (DaemonRow other : others) {
            CompletableFuture<?> unused = send(other.peerAddress(), payload);
        }
    }

    private TableStatusQuery createQuery(List<ShardHolding> holdings) {
        List<TableStatusQuery.Holding> entries =
                holdings.stream()
                        .map(h -> new TableStatusQuery.Holding(h.row().shard(), h.row().epoch()))
                        .toList();
        RegionPeers.Peer self = new RegionPeers.Peer(mSelf.name(), mSelf.peerAddress());
        return new TableStatusQuery(self, mSelf.region(), mSelf.incarnation(), entries);
    }

    private CompletableFuture<Boolean> queryPeer(RegionPeers.Peer peer, byte[] payload) {
        return send(peer.peerAddress(), payload)
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
        answer.rivals().forEach(peer -> mRegionPeers.addDiscovered(peer, mClock.millis()));
        return answer.cannotRead();
    }

    private void confirmIfAgreed(
            List<ShardHolding> holdings,
            boolean agreed,
            List<RegionPeers.Peer> queried,
            long sentMillis) {
        // A peer that was discovered in the meantime has to be queried first.
        if (agreed && queried.containsAll(mRegionPeers.all())) {
            holdings.forEach(holding -> holding.confirmation().confirm(sentMillis));
        }
    }

    // Without peers, a daemon whose confirmation has not expired may renew it. After a pause that
    // let the confirmation expire, it may not.
    private void confirmWithoutPeers(List<ShardHolding> holdings) {
        long nowMillis = mClock.millis();
        for (ShardHolding holding : holdings) {
            if (holding.confirmation().isConfirmed()) {
                holding.confirmation().confirm(nowMillis);
            }
        }
    }
}
