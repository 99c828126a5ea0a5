package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.journal.EventList;
import org.hyssoprouter.internal.journal.GroupCommit;
import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.internal.journal.Recovery;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardHistory;
import org.hyssoprouter.internal.journal.SnapshotStore;
import org.hyssoprouter.internal.journal.TransactionQueue;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.DaemonHeartbeat;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.FailureDetector;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.RegionPeers;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/**
 * Polls the cell's rows and takes over, adopts and releases this daemon's shards accordingly.
 *
 * @since 0.1
 */
public final class OwnershipService implements Service, ShardDirectory {
    private static final EventLogger LOG = EventLogger.of(OwnershipService.class);

    private final OwnershipSettings mSettings;
    private final DaemonRow mSelf;
    private final TableService mTable;
    private final HostListView mHosts;
    private final PeerTransport mPeers;
    private final MonotonicClock mClock;
    private final FailureDetector mFailureDetector;
    private final DaemonHeartbeat mHeartbeat;
    private final GroupWriter mWriter;
    private final Service mWriterThread;
    private final TransactionQueue mTransactions;
    private final SerialExecutor mPollThread;
    private final SerialExecutor mWorkThread;
    private final SerialExecutor mTimerThread;
    private final ShardManager mShardManager;
    private final SnapshotWriter mSnapshotWriter;
    private final RegionPeers mRegionPeers;
    private final OutageConfirmer mOutageConfirmer;
    private final TakeoverPolicy mTakeoverPolicy;
    private final DeadDaemonRowCleaner mDeadRowCleaner;
    private final List<ConfigRowListener> mConfigListeners = new CopyOnWriteArrayList<>();
    private volatile CellView mView = CellView.of(List.of());
    private volatile List<DaemonRow> mLiveDaemons = List.of();
    private volatile boolean mStopping;
    private boolean mFencedLogged;

    /**
     * Creates the service.
     *
     * @param self identity of this daemon, with an incarnation that is unique to this process
     * @param hosts view of the host list, which this service refreshes
     * @param factory opens shards; also creates instances that are never started, to fold a history
     * @param probe checks whether workers of another region's shards can be reached
     */
    public OwnershipService(
            OwnershipSettings settings,
            DaemonRow self,
            TableService table,
            ObjectStore objects,
            HostListView hosts,
            PeerTransport peers,
            OwnedShard.Factory factory,
            ReachabilityProbe probe,
            MonotonicClock clock) {
        this(
                settings,
                self,
                table,
                objects,
                hosts,
                peers,
                factory,
                probe,
                clock,
                OwnershipThreads.ofJvm());
    }

    /** Creates a service that takes over no shard of another region. */
    public OwnershipService(
            OwnershipSettings settings,
            DaemonRow self,
            TableService table,
            ObjectStore objects,
            HostListView hosts,
            PeerTransport peers,
            OwnedShard.Factory factory,
            MonotonicClock clock) {
        this(
                settings,
                self,
                table,
                objects,
                hosts,
                peers,
                factory,
                ReachabilityProbe.ALWAYS_UNREACHABLE,
                clock);
    }

    OwnershipService(
            OwnershipSettings settings,
            DaemonRow self,
            TableService table,
            ObjectStore objects,
            HostListView hosts,
            PeerTransport peers,
            OwnedShard.Factory factory,
            ReachabilityProbe probe,
            MonotonicClock clock,
            OwnershipThreads threads) {
        mSettings = settings;
        mSelf = self;
        mTable = table;
        mHosts = hosts;
        mPeers = peers;
        mClock = clock;
        mPollThread = threads.newExecutor("ownership-poll");
        mWorkThread = threads.newExecutor("ownership-work");
        mTimerThread = threads.newExecutor("ownership-timer");
        mFailureDetector =
                new FailureDetector(
                        settings.deadAfterMillis(),
                        2 * settings.pollMillis() + settings.pollMillis() / 2);
        mHeartbeat = new DaemonHeartbeat(self);
        mWriter = new GroupWriter(table, mHeartbeat, settings.groups(), clock);
        mWriterThread = threads.newWriterThread(mWriter);
        mTransactions = new TransactionQueue(mWriter, clock);
        Recovery recovery = new Recovery(table, objects);
        ShardOpenNotifier openNotifier =
                new ShardOpenNotifier(self.name(), peers, () -> mLiveDaemons);
        mShardManager =
                new ShardManager(
                        settings,
                        self,
                        mWriter,
                        mTransactions,
                        recovery,
                        factory,
                        mFailureDetector,
                        openNotifier,
                        clock,
                        mPollThread,
                        mWorkThread);
        mSnapshotWriter =
                new SnapshotWriter(
                        new SnapshotStore(recovery, objects),
                        objects,
                        mTransactions,
                        factory,
                        settings.snapshotRows(),
                        mWorkThread);
        mRegionPeers = new RegionPeers(self.name());
        mOutageConfirmer = new OutageConfirmer(peers, clock, self, mRegionPeers, settings);
        mDeadRowCleaner = new DeadDaemonRowCleaner(self.name(), mFailureDetector, mTransactions);
        mTakeoverPolicy =
                new TakeoverPolicy(
                        settings,
                        self,
                        mFailureDetector,
                        mShardManager,
                        mOutageConfirmer,
                        hosts,
                        probe,
                        clock,
                        mPollThread);
    }

    /** Listener for the configuration's row, called after each read that found one. */
    @FunctionalInterface
    public interface ConfigRowListener {
        /**
         * Handles the row; called on the poll thread, must not block.
         *
         * @param startedMillis monotonic time at which the read began
         */
        void onRow(Row row, long startedMillis);
    }

    @Override
    public void start() {
        mWriterThread.start();
        mPollThread.scheduleWithFixedDelay(this::poll, mSettings.pollMillis());
        mWorkThread.scheduleWithFixedDelay(this::runBackgroundWork, mSettings.pollMillis());
        mTimerThread.scheduleWithFixedDelay(
                this::confirmDuringOutage, mSettings.confirmMillis() / 4);
    }

    @Override
    public void stop() {
        mStopping = true;
        mTimerThread.shutdownNow();
        mWorkThread.shutdownNow();
        mPollThread.execute(
                () ->
                        List.copyOf(mShardManager.holdings())
                                .forEach(h -> mShardManager.release(h, "stop")));
        mPollThread.shutdown(mSettings.deadAfterMillis());
        mWriterThread.stop();
    }

    /** Returns the queue that commits transactions in this daemon's groups. */
    public GroupCommit groupCommit() {
        return mTransactions;
    }

    /** Adds a listener for the configuration's row. */
    public void addConfigRowListener(ConfigRowListener listener) {
        mConfigListeners.add(listener);
    }

    @Override
    public List<ShardRow> shards() {
        return mView.shards();
    }

    @Override
    public List<DaemonRow> liveDaemons() {
        return mLiveDaemons;
    }

    @Override
    public Option<OwnedShard> ownedShard(String shard) {
        return mShardManager.ownedShard(shard);
    }

    /**
     * Hands all shards over to other daemons, for a planned stop; claims no shard from then on.
     *
     * @return completes with whether every shard was handed over
     */
    public CompletableFuture<Boolean> handOver() {
        mStopping = true;
        mHeartbeat.markStopping();
        mWriter.signal();
        Handover handover = new Handover(mShardManager, mTransactions, mPeers, mPollThread);
        return CompletableFuture.completedFuture(mView)
                .thenComposeAsync(
                        view -> handover.handOverAll(view.shards(), candidates(false)),
                        mPollThread);
    }

    /**
     * Handles a peer's call of type {@code HANDOVER}: either offers a shard to this daemon, or
     * notifies it of a new owner, which makes it poll the table at once.
     */
    public CompletableFuture<byte[]> onHandover(byte[] payload) {
        try {
            HandoverOffer offer = MessageCodec.decode(payload, HandoverOffer.class);
            boolean welcome = !mStopping && mShardManager.isAssignedToSelf(offer.row());
            if (welcome) {
                Option<ShardHistory> history = decodeHistory(offer);
                mPollThread.execute(
                        () -> mShardManager.adopt(offer.row(), offer.rowVersion(), history));
            }
            boolean isNewerEpoch =
                    mView.shard(offer.row().shard())
                            .forAll(row -> row.epoch() < offer.row().epoch());
            if (!welcome && isNewerEpoch) {
                mPollThread.execute(this::poll);
            }
            byte[] answer = MessageCodec.encode(new HandoverOffer.Answer(welcome));
            return CompletableFuture.completedFuture(answer);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static Option<ShardHistory> decodeHistory(HandoverOffer offer) throws IOException {
        if (offer.events().length == 0) {
            return Option.none();
        }
        List<ShardEvent> events = EventList.decode(offer.events());
        return Option.some(new ShardHistory(events, offer.lastSequence(), List.of()));
    }

    /** Handles a peer's call of type {@code TABLE_STATUS}. */
    public CompletableFuture<byte[]> onTableStatus(byte[] payload) {
        TableStatusQuery query;
        try {
            query = MessageCodec.decode(payload, TableStatusQuery.class);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (query.region().equals(mSelf.region())) {
            mRegionPeers.addDiscovered(query.asker(), mClock.millis());
        }
        boolean cannotRead =
                !query.holdings().isEmpty()
                        && !isNewerOwnerKnown(query)
                        && mFailureDetector.promiseNoTakeover(
                                mClock.millis(), mSettings.staleMillis());
        TableStatusQuery.Answer answer =
                new TableStatusQuery.Answer(cannotRead, mRegionPeers.all());
        return CompletableFuture.completedFuture(MessageCodec.encode(answer));
    }

    private boolean isNewerOwnerKnown(TableStatusQuery query) {
        boolean isRestarted =
                mView.daemon(query.asker().name())
                        .exists(row -> !row.incarnation().equals(query.incarnation()));
        return isRestarted || query.holdings().stream().anyMatch(this::isNewerEpochKnown);
    }

    private boolean isNewerEpochKnown(TableStatusQuery.Holding holding) {
        boolean isReplacedInView =
                mView.shard(holding.shard()).exists(row -> row.epoch() > holding.epoch());
        boolean isHeldHere =
                mShardManager.holdings().stream()
                        .anyMatch(h -> h.row().shard().equals(holding.shard()));
        return isReplacedInView || isHeldHere;
    }

    private void poll() {
        if (mWriter.isFenced()) {
            logFencedOnce();
            return;
        }
        long startMillis = mClock.millis();
        Either<TableError, List<Row>> rows = mTable.scan(CellKeys.PREFIX);
        long endMillis = mClock.millis();
        if (rows.isLeft()) {
            mFailureDetector.onReadFailed();
            return;
        }
        CellView view = CellView.of(rows.get());
        mFailureDetector.onReadSucceeded(startMillis, endMillis, view.daemonVersions());
        mView = view;
        mLiveDaemons =
                view.daemons().stream().filter(d -> !mFailureDetector.isDead(d.name())).toList();
        mRegionPeers.updateFromTable(startMillis, regionPeers());
        view.config()
                .peek(
                        row ->
                                mConfigListeners.forEach(
                                        listener -> listener.onRow(row, startMillis)));
        mShardManager.releaseLost(view);
        if (!mStopping) {
            mShardManager.adoptAssigned(view);
            mTakeoverPolicy.apply(view, candidates(true));
            mDeadRowCleaner.deleteDeadRows(view, mLiveDaemons);
        }
    }

    private List<DaemonRow> candidates(boolean withSelf) {
        return mLiveDaemons.stream()
                .filter(daemon -> !daemon.stopping())
                .filter(daemon -> withSelf || !daemon.name().equals(mSelf.name()))
                .toList();
    }

    private void logFencedOnce() {
        if (!mFencedLogged) {
            LOG.log(LogEvent.DAEMON_FENCED, mSelf.name());
            mFencedLogged = true;
        }
    }

    private List<RegionPeers.Peer> regionPeers() {
        return mLiveDaemons.stream()
                .filter(daemon -> !daemon.name().equals(mSelf.name()))
                .filter(daemon -> daemon.region().equals(mSelf.region()))
                .map(daemon -> new RegionPeers.Peer(daemon.name(), daemon.peerAddress()))
                .toList();
    }

    private void runBackgroundWork() {
        mHosts.refresh();
        mShardManager.holdings().forEach(mSnapshotWriter::writeIfDue);
    }

    private void confirmDuringOutage() {
        List<ShardHolding> holdings =
                mShardManager.holdings().stream()
                        .filter(h -> h.row().region().equals(mSelf.region()))
                        .toList();
        mOutageConfirmer.confirmWithPeers(holdings);
    }

    ShardManager shardManager() {
        return mShardManager;
    }
}
