package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.journal.CommitLane;
import org.hyssoprouter.internal.journal.GroupCommit;
import org.hyssoprouter.internal.journal.GroupWriter;
import org.hyssoprouter.internal.journal.GroupWriterThread;
import org.hyssoprouter.internal.journal.Recovery;
import org.hyssoprouter.internal.journal.SnapshotStore;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.DaemonHeartbeat;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.LivenessView;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.OwnershipPlanner;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/**
 * Reads the cell's rows once a poll, and keeps this daemon's shards in step with them.
 *
 * @since 0.1
 */
public final class OwnershipService implements Service, ShardDirectory {
    private static final System.Logger LOG = System.getLogger(OwnershipService.class.getName());

    private final OwnershipSettings mSettings;
    private final DaemonRow mSelf;
    private final TableService mTable;
    private final HostListView mHosts;
    private final MonotonicClock mClock;
    private final LivenessView mLiveness;
    private final DaemonHeartbeat mHeartbeat;
    private final GroupWriter mWriter;
    private final GroupWriterThread mWriterThread;
    private final CommitLane mCommits;
    private final TaskThread mPoll = new TaskThread("ownership-poll");
    private final TaskThread mWork = new TaskThread("ownership-work");
    private final TaskThread mTimer = new TaskThread("ownership-timer");
    private final ShardKeeper mKeeper;
    private final Snapshots mSnapshots;
    private final OutageInquiry mInquiry;
    private final List<Consumer<Row>> mConfigListeners = new CopyOnWriteArrayList<>();
    private volatile CellView mView = CellView.of(List.of());
    private volatile List<DaemonRow> mLive = List.of();
    private volatile boolean mStopping;
    private long mOwnRowSeenMillis = Long.MIN_VALUE;

    /**
     * Creates the service.
     *
     * @param self identity of this daemon, with an incarnation drawn at this start
     * @param hosts copy of the host list, which this service refreshes
     * @param factory opens shards; an instance that is never started folds a history
     */
    public OwnershipService(
            OwnershipSettings settings,
            DaemonRow self,
            TableService table,
            ObjectStore objects,
            HostListView hosts,
            PeerTransport peers,
            OwnedShard.Factory factory,
            MonotonicClock clock) {
        mSettings = settings;
        mSelf = self;
        mTable = table;
        mHosts = hosts;
        mClock = clock;
        mLiveness =
                new LivenessView(
                        settings.deadAfterMillis(),
                        2 * settings.pollMillis() + settings.pollMillis() / 2);
        mHeartbeat = new DaemonHeartbeat(self);
        mWriter = new GroupWriter(table, mHeartbeat, settings.groups(), clock);
        mWriterThread = new GroupWriterThread(mWriter);
        mCommits = new CommitLane(mWriter, clock);
        Recovery recovery = new Recovery(table, objects);
        mKeeper =
                new ShardKeeper(
                        settings, self, mWriter, mCommits, recovery, factory, mLiveness, clock,
                        mPoll, mWork);
        mSnapshots =
                new Snapshots(
                        new SnapshotStore(recovery, objects),
                        objects,
                        mCommits,
                        factory,
                        settings.snapshotRows(),
                        mWork);
        mInquiry = new OutageInquiry(peers, clock, self, settings);
    }

    @Override
    public void start() {
        mWriterThread.start();
        mPoll.repeat(this::poll, mSettings.pollMillis());
        mWork.repeat(this::work, mSettings.pollMillis());
        mTimer.repeat(this::inquire, mSettings.confirmMillis() / 4);
    }

    @Override
    public void stop() {
        mStopping = true;
        mTimer.stopNow();
        mWork.stopNow();
        mPoll.execute(() -> List.copyOf(mKeeper.holdings()).forEach(h -> mKeeper.drop(h, "stop")));
        mPoll.stop(mSettings.deadAfterMillis());
        mWriterThread.stop();
    }

    /** Returns the way to commit transactions in this daemon's groups. */
    public GroupCommit groupCommit() {
        return mCommits;
    }

    /** Adds a listener that gets the configuration's row after each read that found one. */
    public void onConfigRow(Consumer<Row> listener) {
        mConfigListeners.add(listener);
    }

    @Override
    public List<ShardRow> shards() {
        return mView.shards();
    }

    @Override
    public List<DaemonRow> liveDaemons() {
        return mLive;
    }

    @Override
    public Option<OwnedShard> owned(String shard) {
        return mKeeper.owned(shard);
    }

    /**
     * Hands all shards to other daemons, for a planned stop; nothing is claimed from then on.
     *
     * @return whether every shard was given away
     */
    public CompletableFuture<Boolean> handOver() {
        mStopping = true;
        mHeartbeat.stopping();
        mWriter.signal();
        Handover handover = new Handover(mKeeper, mCommits, mPoll);
        return CompletableFuture.completedFuture(mView)
                .thenComposeAsync(view -> handover.run(view.shards(), candidates(false)), mPoll);
    }

    /** Answers a peer's call of type {@code TABLE_STATUS}. */
    public CompletableFuture<byte[]> onTableStatus(byte[] payload) {
        TableStatusQuery query;
        try {
            query = MessageCodec.decode(payload, TableStatusQuery.class);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        boolean cannotRead =
                !hasNewerOwner(query)
                        && mLiveness.promiseOutage(mClock.millis(), mSettings.staleMillis());
        byte[] answer = MessageCodec.encode(new TableStatusQuery.Answer(cannotRead));
        return CompletableFuture.completedFuture(answer);
    }

    private boolean hasNewerOwner(TableStatusQuery query) {
        boolean replaced =
                mView.daemon(query.name())
                        .exists(row -> !row.incarnation().equals(query.incarnation()));
        return replaced || query.holdings().stream().anyMatch(this::isNewerEpochKnown);
    }

    private boolean isNewerEpochKnown(TableStatusQuery.Holding held) {
        boolean inView = mView.shard(held.shard()).exists(row -> row.epoch() > held.epoch());
        boolean isOurs =
                mKeeper.holdings().stream().anyMatch(h -> h.row().shard().equals(held.shard()));
        return inView || isOurs;
    }

    private void poll() {
        if (mWriter.isFenced()) {
            LOG.log(System.Logger.Level.ERROR, "a newer daemon uses the name {0}", mSelf.name());
            return;
        }
        long startMillis = mClock.millis();
        Either<TableError, List<Row>> rows = mTable.scan(CellKeys.PREFIX);
        long endMillis = mClock.millis();
        if (rows.isLeft()) {
            mLiveness.readFailed();
            return;
        }
        CellView view = CellView.of(rows.get());
        mLiveness.readSucceeded(startMillis, endMillis, view.daemonVersions());
        mView = view;
        mLive = view.daemons().stream().filter(d -> !mLiveness.isDead(d.name())).toList();
        view.config().peek(row -> mConfigListeners.forEach(listener -> listener.accept(row)));
        mKeeper.dropLost(view);
        if (!mStopping) {
            mKeeper.adoptGiven(view);
            claim(view, endMillis);
        }
    }

    private void claim(CellView view, long nowMillis) {
        boolean isListed =
                view.daemon(mSelf.name())
                        .exists(row -> row.incarnation().equals(mSelf.incarnation()));
        if (!isListed) {
            return;
        }
        if (mOwnRowSeenMillis == Long.MIN_VALUE) {
            mOwnRowSeenMillis = nowMillis;
        }
        List<ShardRow> shards = withNewShards(view);
        Map<String, DaemonRow> plan = OwnershipPlanner.plan(shards, candidates(true));
        // An older incarnation may act for that long after its last group.
        boolean mayTakeBack = nowMillis - mOwnRowSeenMillis >= mSettings.confirmMillis();
        for (ShardRow row : shards) {
            boolean isPlanned =
                    Option.of(plan.get(row.shard())).exists(d -> d.name().equals(mSelf.name()));
            if (!mKeeper.isIdle(row.shard())) {
                continue;
            }
            if (isPlanned) {
                mKeeper.takeOver(row, view);
            } else if (row.owner().equals(mSelf.name()) && mayTakeBack) {
                mKeeper.takeBack(row, view);
            }
        }
    }

    private List<DaemonRow> candidates(boolean withSelf) {
        return mLive.stream()
                .filter(daemon -> !daemon.stopping())
                .filter(daemon -> withSelf || !daemon.name().equals(mSelf.name()))
                .toList();
    }

    private List<ShardRow> withNewShards(CellView view) {
        List<ShardRow> shards = new ArrayList<>(view.shards());
        for (String name : mHosts.shards()) {
            if (view.shard(name).isEmpty()) {
                String region =
                        mHosts.hostsOf(name).stream().map(HostInfo::region).findFirst().orElse("");
                shards.add(new ShardRow(name, region, "", "", "", 0, "", 0));
            }
        }
        return shards;
    }

    private void work() {
        mHosts.refresh();
        mKeeper.holdings().forEach(mSnapshots::writeIfDue);
    }

    private void inquire() {
        List<ShardHolding> holdings =
                mKeeper.holdings().stream()
                        .filter(h -> h.row().region().equals(mSelf.region()))
                        .toList();
        List<DaemonRow> rivals =
                mLive.stream()
                        .filter(daemon -> !daemon.name().equals(mSelf.name()))
                        .filter(daemon -> daemon.region().equals(mSelf.region()))
                        .toList();
        mInquiry.ask(holdings, rivals);
    }
}
