package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Option;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.hyssoprouter.internal.journal.CommitLane;
import org.hyssoprouter.internal.journal.EventList;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.OwnershipPlanner;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;

/** Gives the shards of a stopping daemon to others, on the poll thread. */
final class Handover {
    private static final long COMMIT_MILLIS = 5000;
    private static final long OFFER_MILLIS = 1000;
    private static final int MAX_STATE_BYTES = 4 * 1024 * 1024;
    private static final byte[] NO_STATE = {};

    private final ShardKeeper mKeeper;
    private final CommitLane mCommits;
    private final PeerTransport mPeers;
    private final Executor mPoll;

    Handover(ShardKeeper keeper, CommitLane commits, PeerTransport peers, Executor poll) {
        mKeeper = keeper;
        mCommits = commits;
        mPeers = peers;
        mPoll = poll;
    }

    /**
     * Hands all shards over.
     *
     * @param shards all shards of the cell
     * @param candidates live daemons that are not stopping, without this one
     * @return whether every shard was given away
     */
    CompletableFuture<Boolean> run(List<ShardRow> shards, List<DaemonRow> candidates) {
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (ShardHolding holding : List.copyOf(mKeeper.holdings())) {
            CompletableFuture<Boolean> given =
                    quiesce(holding)
                            .thenComposeAsync(quiet -> give(holding, shards, candidates), mPoll);
            all = all.thenCombine(given, Boolean::logicalAnd);
        }
        return all;
    }

    private static CompletableFuture<Boolean> quiesce(ShardHolding holding) {
        OwnedShard shard = holding.shard();
        return shard == null ? CompletableFuture.completedFuture(true) : shard.quiesce();
    }

    private CompletableFuture<Boolean> give(
            ShardHolding holding, List<ShardRow> shards, List<DaemonRow> candidates) {
        if (holding.hasEnded()) {
            return CompletableFuture.completedFuture(true);
        }
        byte[] state = stateOf(holding);
        mKeeper.drop(holding, "handed over");
        long version = holding.journal().rowVersion();
        long lastSequence = holding.journal().lastSequence();
        return assign(
                new HandoverOffer(holding.row(), version, lastSequence, state), shards, candidates);
    }

    // Nothing waits to be journaled any more, so the running state is the durable one.
    private static byte[] stateOf(ShardHolding holding) {
        OwnedShard shard = holding.shard();
        byte[] state = shard == null ? NO_STATE : EventList.encode(shard.snapshotEvents());
        return state.length > MAX_STATE_BYTES ? NO_STATE : state;
    }

    private CompletableFuture<Boolean> assign(
            HandoverOffer last, List<ShardRow> shards, List<DaemonRow> candidates) {
        ShardRow row = last.row();
        Option<DaemonRow> heir =
                Option.of(OwnershipPlanner.plan(shards, candidates).get(row.shard()))
                        .filter(daemon -> daemon.region().equals(row.region()));
        ShardRow given =
                heir.map(daemon -> ShardKeeper.ownedBy(row, daemon))
                        .getOrElse(() -> ownerless(row));
        String key = CellKeys.shard(row.shard());
        Transaction transaction =
                Transaction.create()
                        .check(key, last.rowVersion())
                        .put(key, MessageCodec.encode(given));
        return mCommits.submit(() -> transaction, COMMIT_MILLIS, committed -> {})
                .thenCompose(
                        result -> {
                            if (result.isLeft() || heir.isEmpty()) {
                                return CompletableFuture.completedFuture(result.isRight());
                            }
                            HandoverOffer offer = last.with(given, result.get().version());
                            return offer(offer, heir.get(), shards, candidates);
                        });
    }

    // An heir that misses the offer finds its name at its next read; one that declines is replaced.
    private CompletableFuture<Boolean> offer(
            HandoverOffer offer,
            DaemonRow heir,
            List<ShardRow> shards,
            List<DaemonRow> candidates) {
        List<DaemonRow> others =
                candidates.stream().filter(daemon -> !daemon.equals(heir)).toList();
        return mPeers.call(
                        heir.peerAddress(),
                        PeerCallType.HANDOVER.number(),
                        TrafficClass.URGENT,
                        MessageCodec.encode(offer),
                        OFFER_MILLIS)
                .handle((answer, failure) -> failure == null && answer.exists(Handover::declines))
                .thenCompose(
                        declined ->
                                declined
                                        ? assign(offer, shards, others)
                                        : CompletableFuture.completedFuture(true));
    }

    private static boolean declines(byte[] answer) {
        try {
            return !MessageCodec.decode(answer, HandoverOffer.Answer.class).welcome();
        } catch (IOException e) {
            return false;
        }
    }

    private static ShardRow ownerless(ShardRow row) {
        return new ShardRow(
                row.shard(),
                row.region(),
                "",
                "",
                "",
                row.epoch() + 1,
                row.snapshot(),
                row.snapshotSequence());
    }
}
