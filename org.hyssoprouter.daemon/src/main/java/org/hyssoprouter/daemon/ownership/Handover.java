package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Option;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.hyssoprouter.internal.journal.EventList;
import org.hyssoprouter.internal.journal.TransactionQueue;
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

/** Hands the shards of a stopping daemon over to other daemons; runs on the poll thread. */
final class Handover {
    private static final long COMMIT_TIMEOUT_MILLIS = 5000;
    private static final long OFFER_TIMEOUT_MILLIS = 1000;
    private static final int MAX_STATE_BYTES = 4 * 1024 * 1024;
    private static final byte[] EMPTY_STATE = {};

    private final ShardManager mShardManager;
    private final TransactionQueue mTransactions;
    private final PeerTransport mPeers;
    private final Executor mPollThread;

    Handover(
            ShardManager shardManager,
            TransactionQueue transactions,
            PeerTransport peers,
            Executor pollThread) {
        mShardManager = shardManager;
        mTransactions = transactions;
        mPeers = peers;
        mPollThread = pollThread;
    }

    /**
     * Hands over all shards that this daemon holds.
     *
     * @param shards all shards of the cell
     * @param candidates live daemons that are not stopping, without this one
     * @return completes with whether every shard was handed over
     */
    CompletableFuture<Boolean> handOverAll(List<ShardRow> shards, List<DaemonRow> candidates) {
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (ShardHolding holding : List.copyOf(mShardManager.holdings())) {
            CompletableFuture<Boolean> handedOver =
                    quiesce(holding)
                            .thenComposeAsync(
                                    quiesced -> handOver(holding, shards, candidates), mPollThread);
            all = all.thenCombine(handedOver, Boolean::logicalAnd);
        }
        return all;
    }

    private static CompletableFuture<Boolean> quiesce(ShardHolding holding) {
        OwnedShard shard = holding.shard();
        return shard == null ? CompletableFuture.completedFuture(true) : shard.quiesce();
    }

    private CompletableFuture<Boolean> handOver(
            ShardHolding holding, List<ShardRow> shards, List<DaemonRow> candidates) {
        if (holding.isReleased()) {
            return CompletableFuture.completedFuture(true);
        }
        byte[] state = encodeState(holding);
        mShardManager.release(holding, "handed over");
        long version = holding.journal().rowVersion();
        long lastSequence = holding.journal().lastSequence();
        return assign(
                new HandoverOffer(holding.row(), version, lastSequence, state), shards, candidates);
    }

    // The shard is quiesced: no event is still to be journaled, so its state is the durable one.
    private static byte[] encodeState(ShardHolding holding) {
        OwnedShard shard = holding.shard();
        byte[] state = shard == null ? EMPTY_STATE : EventList.encode(shard.snapshotEvents());
        return state.length > MAX_STATE_BYTES ? EMPTY_STATE : state;
    }

    private CompletableFuture<Boolean> assign(
            HandoverOffer last, List<ShardRow> shards, List<DaemonRow> candidates) {
        ShardRow row = last.row();
        Option<DaemonRow> successor =
                Option.of(OwnershipPlanner.plan(shards, candidates).get(row.shard()))
                        .filter(daemon -> daemon.region().equals(row.region()));
        ShardRow handedOver =
                successor
                        .map(daemon -> ShardManager.ownedBy(row, daemon))
                        .getOrElse(() -> ownerless(row));
        String key = CellKeys.shard(row.shard());
        Transaction transaction =
                Transaction.create()
                        .check(key, last.rowVersion())
                        .put(key, MessageCodec.encode(handedOver));
        return mTransactions
                .submit(() -> transaction, COMMIT_TIMEOUT_MILLIS, committed -> {})
                .thenCompose(
                        result -> {
                            if (result.isLeft() || successor.isEmpty()) {
                                return CompletableFuture.completedFuture(result.isRight());
                            }
                            HandoverOffer offer = last.withRow(handedOver, result.get().version());
                            return offer(offer, successor.get(), shards, candidates);
                        });
    }

    // A successor that misses the offer adopts the shard at its next poll, because the row names
    // it. If it declines the offer, another one is chosen.
    private CompletableFuture<Boolean> offer(
            HandoverOffer offer,
            DaemonRow successor,
            List<ShardRow> shards,
            List<DaemonRow> candidates) {
        List<DaemonRow> otherCandidates =
                candidates.stream().filter(daemon -> !daemon.equals(successor)).toList();
        return mPeers.call(
                        successor.peerAddress(),
                        PeerCallType.HANDOVER.number(),
                        TrafficClass.URGENT,
                        MessageCodec.encode(offer),
                        OFFER_TIMEOUT_MILLIS)
                .handle((answer, failure) -> failure == null && answer.exists(Handover::declines))
                .thenCompose(
                        declined ->
                                declined
                                        ? assign(offer, shards, otherCandidates)
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
