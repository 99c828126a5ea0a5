package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.distribution.ConfigHost;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.daemon.ownership.SingleThreadExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.InterferencePair;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.transport.ApprovalService;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Runs workflows on a daemon: serves callers, follows the owner's row, and owns all pools while it
 * holds that row.
 *
 * @since 0.2
 */
public final class WorkflowDaemon implements Service, PeerTransport.Handler {
    private static final EventLogger LOG = EventLogger.of(WorkflowDaemon.class);
    private static final long CAMPAIGN_INTERVAL_MILLIS = 400;
    private static final long STOP_TIMEOUT_MILLIS = 500;

    /** Time without campaigns after an ownership that this daemon has released. */
    private static final long GIVEN_UP_PAUSE_MILLIS = 5_000;

    // Spreads the first campaigns of daemons that start together.
    private static final long SPREAD_STEP_MILLIS = 25;
    private static final int SPREAD_STEPS = 8;

    /** Time without an answer of the store after which callers should use another daemon. */
    private static final long SERVING_TIMEOUT_MILLIS = 2_500;

    private final Ports mPorts;
    private final WorkflowSettings mSettings;
    private final SerialExecutor mThread = new SingleThreadExecutor("workflows");
    private final MemberRegistry mMembers;
    private final WorkflowStateCache mStates;

    /** Table for transactions that fail a check once they have taken effect. */
    private final HedgedTable mHedgedTable;

    private final ForwardingWorkflowService mService;
    private final WorkspaceGate mGate = new WorkspaceGate();
    private final Election mElection;
    private final TakeoverCoordinator mTakeovers;
    private @Nullable PoolOwner mOwner;
    private boolean mCampaigning;
    private boolean mOwnershipDisabled;
    private long mNextCampaignMillis;

    /** Epoch of the last ownership that this daemon has released. */
    private long mGivenUpEpoch;

    private long mLastStoreMillis = -1;
    private String mLoggedOwner = "";

    /** Configuration in force, and the removed queues, whose workflows an owner still runs. */
    private PoolConfig mConfig = PoolConfig.NONE;

    /**
     * Adapters that the daemon works with.
     *
     * @param table table store
     * @param runner client of the workers
     * @param workers list of workers
     * @param approvals approval service
     * @param peers transport to the other daemons
     * @param clock steady clock
     * @param timeOfDay time of day, which goes on while the machine is suspended
     * @param meters counters and histograms
     */
    public record Ports(
            PartitionTable table,
            TaskRunner runner,
            WorkerSource workers,
            ApprovalService approvals,
            PeerTransport peers,
            MonotonicClock clock,
            Clock timeOfDay,
            WorkflowMeters meters) {}

    /** Creates a daemon that does nothing before {@link #start()}. */
    public WorkflowDaemon(Ports ports, WorkflowSettings settings) {
        mPorts = ports;
        mSettings = settings;
        mElection = new Election(settings, spreadMillis(settings.name()));
        mMembers =
                new MemberRegistry(
                        ports.table(),
                        settings,
                        mThread::schedule,
                        ports.clock(),
                        mElection::recordRoundTrip);
        mTakeovers =
                new TakeoverCoordinator(
                        mElection,
                        mMembers,
                        ports.peers(),
                        mThread,
                        () -> campaignIfDue(storeMillis()));
        mStates =
                new WorkflowStateCache(
                        ports.table(), new OwnerRowListener(), ports.clock(), ports.timeOfDay());
        mHedgedTable = new HedgedTable(ports.table(), mThread, ports.clock(), ports.meters());
        UnreachablePeers unreachable = new UnreachablePeers(ports.clock());
        SubmissionGrouping grouping =
                new SubmissionGrouping(mMembers::all, mMembers.self(), unreachable, ports.clock());
        LocalWorkflowService local =
                new LocalWorkflowService(
                        new LocalWorkflowService.Ports(
                                mHedgedTable,
                                mThread,
                                ports.clock(),
                                ports.meters(),
                                settings.maxRowBytes()),
                        mStates,
                        millis -> {
                            mElection.recordRoundTrip(millis);
                            grouping.recordWrite(millis);
                        },
                        mGate);
        mService =
                new ForwardingWorkflowService(
                        local,
                        grouping,
                        mStates::isRecent,
                        mMembers::others,
                        unreachable,
                        ports.peers(),
                        mThread);
    }

    private static long spreadMillis(String name) {
        return Math.floorMod(name.hashCode(), SPREAD_STEPS) * SPREAD_STEP_MILLIS;
    }

    /** Returns the known hosts of the cell, including this one; empty before the first read. */
    public List<ConfigHost> configHosts() {
        if (!mMembers.isSynced()) {
            return List.of();
        }
        return mMembers.all().stream()
                .map(it -> new ConfigHost(it.name(), it.address(), it.region(), it.cores()))
                .toList();
    }

    /** Returns the service for callers. */
    public WorkflowService service() {
        return mService;
    }

    /**
     * Reads the durable state of a workflow and the reason why it has ended.
     *
     * @return row of the workflow; none if no task of it was placed yet or it does not exist
     */
    public CompletableFuture<Either<TableError, Option<WorkflowRow>>> readRow(String id) {
        return RunRowReader.read(mPorts.table(), id);
    }

    /**
     * Returns the pairs of kinds of tasks that are believed to slow each other down, those with the
     * largest effect first; none if this daemon does not own the pools.
     *
     * @since 0.3
     */
    public CompletableFuture<Option<List<InterferencePair>>> believedInterference() {
        return CompletableFuture.supplyAsync(() -> Option.of(mOwner), mThread)
                .thenCompose(
                        owner ->
                                owner.isEmpty()
                                        ? CompletableFuture.completedFuture(Option.none())
                                        : owner.get()
                                                .believedInterference()
                                                .thenApply(Option::some));
    }

    /**
     * Returns whether this daemon can serve callers, that is, whether the store has answered
     * recently.
     */
    public boolean isServing() {
        return mStates.hasAnswerWithin(SERVING_TIMEOUT_MILLIS);
    }

    @Override
    public void start() {
        mMembers.start();
        mStates.start();
    }

    @Override
    public void stop() {
        leave();
        mThread.shutdown(STOP_TIMEOUT_MILLIS);
        mStates.stop();
        mMembers.stop();
    }

    /**
     * Leaves the cell: releases the pools if this daemon owns them, stops campaigning, and removes
     * this daemon from the list of members. Callers are still served.
     *
     * @since 0.3
     */
    public void leave() {
        mMembers.leave();
        mThread.execute(this::disableOwnership);
    }

    private void disableOwnership() {
        mOwnershipDisabled = true;
        PoolOwner owner = mOwner;
        mOwner = null;
        if (owner != null) {
            owner.release();
        }
    }

    /** Applies the configuration in force. */
    public void configure(PoolConfig config) {
        mGate.configure(config);
        mThread.execute(
                () -> {
                    mConfig = config.withQueuesOf(mConfig);
                    PoolOwner owner = mOwner;
                    if (owner != null) {
                        owner.configure(config);
                    } else {
                        campaignIfDue(mLastStoreMillis);
                    }
                });
    }

    @Override
    public CompletableFuture<byte[]> handle(int type, TrafficClass trafficClass, byte[] payload) {
        if (type == PeerCallType.MEMBER_PING.number()) {
            return CompletableFuture.completedFuture(payload);
        }
        if (type == PeerCallType.WORKFLOW_CALL.number()) {
            return mService.serve(payload);
        }
        if (type == PeerCallType.POOLS_TAKEOVER.number()) {
            return mTakeovers.handleRequest(payload);
        }
        if (type != PeerCallType.APPROVAL.number()) {
            return CompletableFuture.failedFuture(
                    new IllegalArgumentException("peer call type " + type + " is not supported"));
        }
        try {
            ApprovalCall call = MessageCodec.decode(payload, ApprovalCall.class);
            return mPorts.approvals()
                    .requestApprovals(call.request(), call.timeoutMillis())
                    .thenApply(ApprovalReply::of)
                    .thenApply(MessageCodec::encode);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private long storeMillis() {
        return mStates.storeClock().millis();
    }

    private void campaignIfDue(long storeMillis) {
        mElection.setMaxCores(mMembers.maxCores());
        boolean tooEarly = mPorts.clock().millis() < mNextCampaignMillis;
        boolean notReady = mConfig.version() == 0 || storeMillis < 0;
        boolean notEligible = mOwnershipDisabled || mOwner != null || mCampaigning || notReady;
        if (notEligible || tooEarly || !mElection.shouldCampaign(storeMillis)) {
            return;
        }
        mCampaigning = true;
        mNextCampaignMillis = mPorts.clock().millis() + CAMPAIGN_INTERVAL_MILLIS;
        Option<OwnerRow> former = mElection.row();
        long version = mElection.version();
        long epoch = former.map(OwnerRow::epoch).getOrElse(0L) + 1;
        OwnerRow row =
                new OwnerRow(
                        mSettings.name(),
                        mSettings.incarnation(),
                        mSettings.peerAddress(),
                        epoch,
                        0,
                        false,
                        former.map(OwnerRow::unopenedCount).getOrElse(0),
                        former.map(OwnerRow::countedMillis).getOrElse(0L));
        PartitionTable.Batch batch = new PartitionTable.Batch(Schema.POOLS_PARTITION);
        batch.check(Schema.STATES, Schema.OWNER_KEY, former.isEmpty() ? 0 : version);
        batch.put(Schema.STATES, Schema.OWNER_KEY, MessageCodec.encode(row));
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mPorts.table().commit(batch),
                                "campaign",
                                PartitionTable.CommitFailure::unknownOutcome)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> onCampaignResult(row, former, result)));
    }

    private void onCampaignResult(
            OwnerRow row,
            Option<OwnerRow> former,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        mCampaigning = false;
        if (result.isRight()) {
            startOwner(row, result.get().version(), former.map(OwnerRow::owner).getOrElse("none"));
        }
    }

    private void startOwner(OwnerRow row, long version, String former) {
        if (mOwnershipDisabled || mOwner != null) {
            return;
        }
        LOG.log(LogEvent.POOLS_OWNED, row.epoch(), former, "row version " + version);
        PoolOwner.Ports ports =
                new PoolOwner.Ports(
                        mHedgedTable,
                        mPorts.runner(),
                        mPorts.workers(),
                        mMembers,
                        new PeerApprovalTransport(
                                mSettings.name(), mPorts.approvals(), mPorts.peers()),
                        mPorts.clock(),
                        mPorts.timeOfDay(),
                        mStates.storeClock(),
                        mPorts.meters());
        PoolOwner owner = new PoolOwner(ports, mSettings, new OwnershipEvents());
        mOwner = owner;
        owner.begin(row, version, mConfig);
    }

    /** Receives the owner's row on the follower's thread and handles it on the daemon's thread. */
    private final class OwnerRowListener implements WorkflowStateCache.OwnerListener {
        @Override
        public void onOwnerRow(Option<OwnerRow> row, long version) {
            mElection.onOwnerRow(row, version);
            mThread.execute(() -> row.forEach(it -> handleOwnerRow(it, version)));
        }

        @Override
        public void onSynced(long storeMillis) {
            mMembers.recordStoreAnswer(storeMillis);
            mThread.execute(
                    () -> {
                        mLastStoreMillis = storeMillis;
                        mTakeovers.checkOwnerIfSilent(storeMillis);
                        campaignIfDue(storeMillis);
                    });
        }

        @Override
        public void onReadFailed() {
            mElection.onReadFailed();
        }
    }

    private void handleOwnerRow(OwnerRow row, long version) {
        String owner = row.owner() + "/" + row.epoch();
        if (!owner.equals(mLoggedOwner)) {
            mLoggedOwner = owner;
            LOG.log(LogEvent.POOL_OWNER_OBSERVED, row.owner(), row.epoch());
        }
        boolean givenUp = row.released() && row.incarnation().equals(mSettings.incarnation());
        if (givenUp && row.epoch() != mGivenUpEpoch) {
            mGivenUpEpoch = row.epoch();
            mNextCampaignMillis = mPorts.clock().millis() + GIVEN_UP_PAUSE_MILLIS;
        }
        if (row.released()) {
            // A released row does not change any more, so the next read would come late.
            long staggerMillis = mElection.staggerMillis();
            mThread.schedule(() -> campaignIfDue(mLastStoreMillis + staggerMillis), staggerMillis);
        }
        // A campaign whose answer was lost may have been won.
        boolean wonCampaign =
                row.incarnation().equals(mSettings.incarnation()) && row.sequence() == 0;
        if (wonCampaign && mOwner == null && !mCampaigning && !row.released()) {
            startOwner(row, version, "unknown");
        }
    }

    /** Handles the events of this daemon's ownership. */
    private final class OwnershipEvents implements PoolOwnershipListener {
        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {
            states.forEach(mStates::recordState);
        }

        @Override
        public void onCommitsRefused(PoolOwner owner) {
            mThread.execute(() -> mTakeovers.requestTakeover(owner.epoch()));
        }

        @Override
        public void onOwnershipLost(PoolOwner owner, String reason) {
            mThread.execute(
                    () -> {
                        if (owner.equals(mOwner)) {
                            mOwner = null;
                        }
                    });
        }
    }
}
