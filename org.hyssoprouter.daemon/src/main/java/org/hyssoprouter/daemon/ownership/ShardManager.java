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
import org.hyssoprouter.internal.journal.CommitReceipt;
import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.internal.journal.Journal;
import org.hyssoprouter.internal.journal.Recovery;
import org.hyssoprouter.internal.journal.ShardHistory;
import org.hyssoprouter.internal.journal.TransactionQueue;
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
 * Takes over, recovers and opens this daemon's shards, and releases those it has lost. All methods
 * but {@link #ownedShard} and {@link #holdings} must be called on the poll thread.
 */
final class ShardManager {
    private static final EventLogger LOG = EventLogger.of(ShardManager.class);

    private final OwnershipSettings mSettings;
    private final DaemonRow mSelf;
    private final GroupWriter mWriter;
    private final TransactionQueue mTransactions;
    private final Recovery mRecovery;
    private final OwnedShard.Factory mFactory;
    private final FailureDetector mFailureDetector;
    private final ShardOpenNotifier mOpenNotifier;
    private final MonotonicClock mClock;
    private final SerialExecutor mPollThread;
    private final SerialExecutor mWorkThread;
    private final Map<String, ShardHolding> mHoldings = new ConcurrentHashMap<>();
    private final Set<String> mPendingClaims = new HashSet<>();

    ShardManager(
            OwnershipSettings settings,
            DaemonRow self,
            GroupWriter writer,
            TransactionQueue transactions,
            Recovery recovery,
            OwnedShard.Factory factory,
            FailureDetector failureDetector,
            ShardOpenNotifier openNotifier,
            MonotonicClock clock,
            SerialExecutor pollThread,
            SerialExecutor workThread) {
        mSettings = settings;
        mSelf = self;
        mWriter = writer;
        mTransactions = transactions;
        mRecovery = recovery;
        mFactory = factory;
        mFailureDetector = failureDetector;
        mOpenNotifier = openNotifier;
        mClock = clock;
        mPollThread = pollThread;
        mWorkThread = workThread;
    }

    Collection<ShardHolding> holdings() {
        return mHoldings.values();
    }

    Option<OwnedShard> ownedShard(String shard) {
        return Option.of(mHoldings.get(shard)).flatMap(holding -> Option.of(holding.shard()));
    }

    /** Releases the shards that another daemon has taken over. */
    void releaseLost(CellView view) {
        for (ShardHolding holding : List.copyOf(mHoldings.values())) {
            long epoch = view.shard(holding.row().shard()).map(ShardRow::epoch).getOrElse(0L);
            if (epoch > holding.row().epoch()) {
                release(holding, "a newer epoch was read");
            }
        }
    }

    /** Adopts the shards that another daemon has handed over to this one. */
    void adoptAssigned(CellView view) {
        for (ShardRow row : view.shards()) {
            if (isAssignedToSelf(row) && isUnclaimed(row.shard())) {
                long version = view.version(CellKeys.shard(row.shard()));
                adopt(row, version, Option.none());
            }
        }
    }

    /** Returns whether a shard's row names this incarnation of the daemon as the owner. */
    boolean isAssignedToSelf(ShardRow row) {
        return row.owner().equals(mSelf.name()) && row.incarnation().equals(mSelf.incarnation());
    }

    /** Returns whether this daemon neither holds nor claims a shard. */
    boolean isUnclaimed(String shard) {
        return !mHoldings.containsKey(shard) && !mPendingClaims.contains(shard);
    }

    /** Takes over a shard that has no owner, or whose owner is dead. */
    void takeOver(ShardRow row, CellView view) {
        if (!mFailureDetector.beginTakeover(row.owner())) {
            return;
        }
        Transaction transaction = createClaim(row, view);
        if (!row.owner().isEmpty()) {
            // Each group of the owner renews its confirmation, so the claim fails if the owner has
            // committed one since the last read.
            String owner = CellKeys.daemon(row.owner());
            transaction.check(owner, view.version(owner));
        }
        submitClaim(row, transaction, mFailureDetector::endTakeover);
    }

    /** Takes a shard over from an older incarnation of this daemon. */
    void reclaim(ShardRow row, CellView view) {
        submitClaim(row, createClaim(row, view), () -> {});
    }

    private Transaction createClaim(ShardRow row, CellView view) {
        String key = CellKeys.shard(row.shard());
        mPendingClaims.add(row.shard());
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

    private void submitClaim(ShardRow row, Transaction transaction, Runnable onFinished) {
        CompletableFuture<Void> unused =
                mTransactions
                        .submit(() -> transaction, mSettings.pollMillis(), committed -> {})
                        .thenAccept(
                                result ->
                                        mPollThread.execute(
                                                () -> finishTakeover(row, result, onFinished)));
    }

    private void finishTakeover(
            ShardRow row, Either<TableError, CommitReceipt> result, Runnable onFinished) {
        try {
            handleClaimOutcome(ownedBy(row, mSelf), result, Option.none());
        } finally {
            // Only now, with the holding registered, may this daemon promise a peer that it takes
            // no shard over.
            onFinished.run();
        }
    }

    /** Adopts a shard whose row names this daemon, unless it is already held or claimed. */
    void adopt(ShardRow row, long version, Option<ShardHistory> history) {
        if (!isUnclaimed(row.shard())) {
            return;
        }
        mPendingClaims.add(row.shard());
        // A group has to confirm the row before this daemon acts as the owner.
        Transaction check = Transaction.create().check(CellKeys.shard(row.shard()), version);
        CompletableFuture<Void> unused =
                mTransactions
                        .submit(() -> check, mSettings.pollMillis(), committed -> {})
                        .thenAccept(
                                result ->
                                        mPollThread.execute(
                                                () ->
                                                        finishAdoption(
                                                                row, version, history, result)));
    }

    private void finishAdoption(
            ShardRow row,
            long version,
            Option<ShardHistory> history,
            Either<TableError, CommitReceipt> result) {
        handleClaimOutcome(
                row,
                result.map(checked -> new CommitReceipt(version, checked.startedMillis())),
                history);
    }

    private void handleClaimOutcome(
            ShardRow row, Either<TableError, CommitReceipt> result, Option<ShardHistory> history) {
        mPendingClaims.remove(row.shard());
        if (result.isLeft()) {
            return;
        }
        CommitReceipt committed = result.get();
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
                        new OwnershipListener(row, confirmation));
        ShardHolding holding = new ShardHolding(row, journal, confirmation);
        mHoldings.put(row.shard(), holding);
        LOG.log(LogEvent.SHARD_OWNED, row.shard(), row.epoch());
        journal.open();
        history.peek(known -> open(holding, known))
                .onEmpty(() -> mWorkThread.execute(() -> recover(holding)));
    }

    private void recover(ShardHolding holding) {
        if (holding.isReleased()) {
            return;
        }
        ShardRow row = holding.row();
        Either<TableError, ShardHistory> history =
                mRecovery.read(row.shard(), row.snapshot(), row.snapshotSequence());
        if (history.isLeft()) {
            LOG.log(
                    LogEvent.RECOVERY_FAILED,
                    row.shard(),
                    row.epoch(),
                    history.getLeft().message());
            mWorkThread.schedule(() -> recover(holding), mSettings.pollMillis());
            return;
        }
        mPollThread.execute(() -> open(holding, history.get()));
    }

    private void open(ShardHolding holding, ShardHistory history) {
        if (holding.isReleased()) {
            return;
        }
        holding.journal().setLastSequence(history.lastSequence());
        OwnedShard shard = mFactory.open(holding.context(), history.events());
        shard.start();
        holding.setShard(shard);
        LOG.log(
                LogEvent.SHARD_OPENED,
                holding.row().shard(),
                holding.row().epoch(),
                history.events().size());
        mOpenNotifier.notifyPeers(holding.row(), holding.journal().rowVersion());
    }

    private void handleOwnershipLost(String shard, long epoch) {
        ShardHolding holding = mHoldings.get(shard);
        if (holding != null && holding.row().epoch() == epoch) {
            release(holding, "the shard's row has changed");
        }
    }

    /** Stops a shard and removes its holding. */
    void release(ShardHolding holding, String reason) {
        mHoldings.remove(holding.row().shard(), holding);
        holding.release();
        LOG.log(LogEvent.SHARD_LOST, holding.row().shard(), holding.row().epoch(), reason);
    }

    private final class OwnershipListener implements Journal.Listener {
        private final ShardRow mRow;
        private final OwnershipConfirmation mConfirmation;

        OwnershipListener(ShardRow row, OwnershipConfirmation confirmation) {
            mRow = row;
            mConfirmation = confirmation;
        }

        @Override
        public void onConfirmed(long startedMillis) {
            mConfirmation.confirm(startedMillis);
        }

        @Override
        public void onOwnershipLost() {
            mConfirmation.revoke();
            mPollThread.execute(
                    () -> ShardManager.this.handleOwnershipLost(mRow.shard(), mRow.epoch()));
        }
    }
}
