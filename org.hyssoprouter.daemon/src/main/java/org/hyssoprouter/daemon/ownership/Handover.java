package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.hyssoprouter.internal.journal.CommitLane;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.OwnershipPlanner;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;

/** Gives the shards of a stopping daemon to others, on the poll thread. */
final class Handover {
    private static final long COMMIT_MILLIS = 5000;

    private final ShardKeeper mKeeper;
    private final CommitLane mCommits;
    private final Executor mPoll;

    Handover(ShardKeeper keeper, CommitLane commits, Executor poll) {
        mKeeper = keeper;
        mCommits = commits;
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
        Map<String, DaemonRow> plan = OwnershipPlanner.plan(shards, candidates);
        List<CompletableFuture<Boolean>> given = new ArrayList<>();
        for (ShardHolding holding : List.copyOf(mKeeper.holdings())) {
            Option<DaemonRow> heir = Option.of(plan.get(holding.row().shard()));
            Option<DaemonRow> sameRegion =
                    heir.filter(d -> d.region().equals(holding.row().region()));
            given.add(quiesce(holding).thenComposeAsync(q -> give(holding, sameRegion), mPoll));
        }
        CompletableFuture<Boolean> all = CompletableFuture.completedFuture(true);
        for (CompletableFuture<Boolean> one : given) {
            all = all.thenCombine(one, Boolean::logicalAnd);
        }
        return all;
    }

    private static CompletableFuture<Boolean> quiesce(ShardHolding holding) {
        OwnedShard shard = holding.shard();
        return shard == null ? CompletableFuture.completedFuture(true) : shard.quiesce();
    }

    private CompletableFuture<Boolean> give(ShardHolding holding, Option<DaemonRow> heir) {
        if (holding.hasEnded()) {
            return CompletableFuture.completedFuture(true);
        }
        mKeeper.drop(holding, "handed over");
        ShardRow given =
                heir.map(daemon -> ShardKeeper.ownedBy(holding.row(), daemon))
                        .getOrElse(() -> ownerless(holding.row()));
        String key = CellKeys.shard(given.shard());
        Transaction transaction =
                Transaction.create()
                        .check(key, holding.journal().rowVersion())
                        .put(key, MessageCodec.encode(given));
        return mCommits.submit(() -> transaction, COMMIT_MILLIS, committed -> {})
                .thenApply(result -> result.isRight());
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
