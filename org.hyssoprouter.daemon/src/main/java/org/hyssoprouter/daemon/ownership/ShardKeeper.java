package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.journal.CommitLane;
import org.hyssoprouter.internal.journal.Committed;
import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.internal.journal.Journal;
import org.hyssoprouter.internal.journal.RecoveredShard;
import org.hyssoprouter.internal.journal.Recovery;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.FailureDetector;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.OwnershipConfirmation;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Takes shards over, recovers and opens them, and closes them when they are lost. All methods but
 * {@link #owned} and {@link #holdings} are for the poll thread.
 */
final class ShardKeeper {
    private static final EventLogger LOG = EventLogger.of(ShardKeeper.class);

    private final OwnershipSettings mSettings;
    private final DaemonRow mSelf;
    private final GroupWriter mWriter;
    private final CommitLane mCommits;
    private final Recovery mRecovery;
    private final OwnedShard.Factory mFactory;
    private final FailureDetector mLiveness;
    private final ShardNews mNews;
    private final MonotonicClock mClock;
    private final Tasks mPoll;
    private final Tasks mWork;
    private final Map<String, ShardHolding> mHoldings = new ConcurrentHashMap<>();
    private final Set<String> mClaims = new HashSet<>();

    ShardKeeper(
            OwnershipSettings settings,
            DaemonRow self,
            GroupWriter writer,
            CommitLane commits,
            Recovery recovery,
            OwnedShard.Factory factory,
            FailureDetector liveness,
            ShardNews news,
            MonotonicClock clock,
            Tasks poll,
            Tasks work) {
        mSettings = settings;
        mSelf = self;
        mWriter = writer;
        mCommits = commits;
        mRecovery = recovery;
        mFactory = factory;
        mLiveness = liveness;
        mNews = news;
        mClock = clock;
        mPoll = poll;
        mWork = work;
    }

    Collection<ShardHolding> holdings() {
        return mHoldings.values();
    }

    Option<OwnedShard> owned(String shard) {
        return Option.of(mHoldings.get(shard)).flatMap(holding -> Option.of(holding.shard()));
    }

    /** Drops what another daemon has taken over. */
    void dropLost(CellView view) {
        for (ShardHolding holding : List.copyOf(mHoldings.values())) {
            long epoch = view.shard(holding.row().shard()).map(ShardRow::epoch).getOrElse(0L);
            if (epoch > holding.row().epoch()) {
                drop(holding, "a newer epoch was read");
            }
        }
    }

    /** Adopts what another daemon has handed to this one. */
    void adoptGiven(CellView view) {
        for (ShardRow row : view.shards()) {
            if (isNamedIn(row) && isIdle(row.shard())) {
                long version = view.version(CellKeys.shard(row.shard()));
                adopt(row, version, Option.none());
            }
        }
    }

    /** Returns whether a shard's row names this process as its owner. */
    boolean isNamedIn(ShardRow row) {
        return row.owner().equals(mSelf.name()) && row.incarnation().equals(mSelf.incarnation());
    }

    /** Returns whether this daemon neither holds nor claims a shard. */
    boolean isIdle(String shard) {
        return !mHoldings.containsKey(shard) && !mClaims.contains(shard);
    }

    /** Takes a shard over from a daemon that is counted dead, or that never was. */
    void takeOver(ShardRow row, CellView view) {
        if (!mLiveness.beginTakeover(row.owner())) {
            return;
        }
        Transaction transaction = claim(row, view);
        if (!row.owner().isEmpty()) {
            // The owner's right to act ends with its groups: none may have come since the last
            // read.
            String owner = CellKeys.daemon(row.owner());
            transaction.check(owner, view.version(owner));
        }
        submit(row, transaction, mLiveness::endTakeover);
    }

    /** Takes a shard over from an older incarnation of this daemon. */
    void takeBack(ShardRow row, CellView view) {
        submit(row, claim(row, view), () -> {});
    }

    private Transaction claim(ShardRow row, CellView view) {
        String key = CellKeys.shard(row.shard());
        mClaims.add(row.shard());
        return Transaction.create()
                .check(key, view.version(key))
                .put(key, MessageCodec.encode(ownedBy(row, mSelf)));
    }

    static ShardRow ownedBy(ShardRow row, DaemonRow owner) {
        return new ShardRow(
                row.shard(),
                row.region(),
                owner.name(),
                owner.incarnation(),
                owner.peerAddress(),
                row.epoch() + 1,
                row.snapshot(),
                row.snapshotSequence());
    }

    private void submit(ShardRow row, Transaction transaction, Runnable afterwards) {
        CompletableFuture<Void> unused =
                mCommits.submit(() -> transaction, mSettings.pollMillis(), committed -> {})
                        .thenAccept(result -> mPoll.execute(() -> settle(row, result, afterwards)));
    }

    private void settle(ShardRow row, Either<TableError, Committed> result, Runnable afterwards) {
        try {
            claimed(ownedBy(row, mSelf), result, Option.none());
        } finally {
            // Only now that the holding is known may a peer be told that nothing is under way.
            afterwards.run();
        }
    }

    /** Adopts a shard whose row names this daemon, unless it did so already. */
    void adopt(ShardRow row, long version, Option<RecoveredShard> history) {
        if (!isIdle(row.shard())) {
            return;
        }
        mClaims.add(row.shard());
        // The row is confirmed by a group before anything is done under it.
        Transaction check = Transaction.create().check(CellKeys.shard(row.shard()), version);
        CompletableFuture<Void> unused =
                mCommits.submit(() -> check, mSettings.pollMillis(), committed -> {})
                        .thenAccept(
                                result ->
                                        mPoll.execute(
                                                () -> adopted(row, version, history, result)));
    }

    private void adopted(
            ShardRow row,
            long version,
            Option<RecoveredShard> history,
            Either<TableError, Committed> result) {
        claimed(
                row,
                result.map(checked -> new Committed(version, checked.startedMillis())),
                history);
    }

    private void claimed(
            ShardRow row, Either<TableError, Committed> result, Option<RecoveredShard> history) {
        mClaims.remove(row.shard());
        if (result.isLeft()) {
            return;
        }
        Committed committed = result.get();
        OwnershipConfirmation confirmation =
                new OwnershipConfirmation(mClock, mSettings.confirmMillis());
        confirmation.confirm(committed.startedMillis());
        Journal journal =
                new Journal(
                        row.shard(),
                        row.epoch(),
                        CellKeys.shard(row.shard()),
                        committed.version(),
                        mWriter,
                        mClock,
                        new Fate(row, confirmation));
        ShardHolding holding = new ShardHolding(row, journal, confirmation);
        mHoldings.put(row.shard(), holding);
        LOG.log(LogEvent.SHARD_OWNED, row.shard(), row.epoch());
        journal.open();
        history.peek(known -> open(holding, known))
                .onEmpty(() -> mWork.execute(() -> recover(holding)));
    }

    private void recover(ShardHolding holding) {
        if (holding.hasEnded()) {
            return;
        }
        ShardRow row = holding.row();
        Either<TableError, RecoveredShard> history =
                mRecovery.read(row.shard(), row.snapshot(), row.snapshotSequence());
        if (history.isLeft()) {
            LOG.log(
                    LogEvent.RECOVERY_FAILED,
                    row.shard(),
                    row.epoch(),
                    history.getLeft().message());
            mWork.later(() -> recover(holding), mSettings.pollMillis());
            return;
        }
        mPoll.execute(() -> open(holding, history.get()));
    }

    private void open(ShardHolding holding, RecoveredShard history) {
        if (holding.hasEnded()) {
            return;
        }
        holding.journal().continueAfter(history.lastSequence());
        OwnedShard shard = mFactory.open(holding.context(), history.events());
        shard.start();
        holding.opened(shard);
        LOG.log(
                LogEvent.SHARD_OPENED,
                holding.row().shard(),
                holding.row().epoch(),
                history.events().size());
        mNews.tell(holding.row(), holding.journal().rowVersion());
    }

    private void lost(String shard, long epoch) {
        ShardHolding holding = mHoldings.get(shard);
        if (holding != null && holding.row().epoch() == epoch) {
            drop(holding, "its row has changed");
        }
    }

    /** Closes a shard and forgets it. */
    void drop(ShardHolding holding, String reason) {
        mHoldings.remove(holding.row().shard(), holding);
        holding.end();
        LOG.log(LogEvent.SHARD_LOST, holding.row().shard(), holding.row().epoch(), reason);
    }

    private final class Fate implements Journal.Listener {
        private final ShardRow mRow;
        private final OwnershipConfirmation mConfirmation;

        Fate(ShardRow row, OwnershipConfirmation confirmation) {
            mRow = row;
            mConfirmation = confirmation;
        }

        @Override
        public void confirmed(long startedMillis) {
            mConfirmation.confirm(startedMillis);
        }

        @Override
        public void lost() {
            mConfirmation.revoke();
            mPoll.execute(() -> ShardKeeper.this.lost(mRow.shard(), mRow.epoch()));
        }
    }
}
