package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.FailureDetector;
import org.hyssoprouter.internal.ownership.OwnershipPlanner;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.util.MonotonicClock;

/** Decides after each read which shards this daemon takes over; runs on the poll thread. */
final class TakeoverPolicy {
    private final OwnershipSettings mSettings;
    private final DaemonRow mSelf;
    private final FailureDetector mFailureDetector;
    private final ShardManager mShardManager;
    private final OutageConfirmer mOutageConfirmer;
    private final HostListView mHosts;
    private final ReachabilityProbe mProbe;
    private final MonotonicClock mClock;
    private final SerialExecutor mPollThread;
    private final TakeoverNoticePeriod mNoticePeriod;
    private final Set<String> mReachableShards = new HashSet<>();
    private long mOwnRowFirstReadMillis = Long.MIN_VALUE;

    TakeoverPolicy(
            OwnershipSettings settings,
            DaemonRow self,
            FailureDetector failureDetector,
            ShardManager shardManager,
            OutageConfirmer outageConfirmer,
            HostListView hosts,
            ReachabilityProbe probe,
            MonotonicClock clock,
            SerialExecutor pollThread) {
        mSettings = settings;
        mSelf = self;
        mFailureDetector = failureDetector;
        mShardManager = shardManager;
        mOutageConfirmer = outageConfirmer;
        mHosts = hosts;
        mProbe = probe;
        mClock = clock;
        mPollThread = pollThread;
        mNoticePeriod =
                new TakeoverNoticePeriod(settings.confirmMillis() + settings.pollMillis() / 4);
    }

    /**
     * Takes over the shards that the ownership plan assigns to this daemon.
     *
     * @param view rows just read
     * @param candidates live daemons that are not stopping
     */
    void apply(CellView view, List<DaemonRow> candidates) {
        boolean isListed =
                view.daemon(mSelf.name())
                        .exists(row -> row.incarnation().equals(mSelf.incarnation()));
        if (!isListed) {
            return;
        }
        long nowMillis = mClock.millis();
        if (mOwnRowFirstReadMillis == Long.MIN_VALUE) {
            mOwnRowFirstReadMillis = nowMillis;
        }
        List<ShardRow> shards = addNewShards(view);
        announceForUnresponsiveOwners(view, shards, nowMillis);
        Map<String, DaemonRow> plan = OwnershipPlanner.plan(shards, candidates);
        for (ShardRow row : shards) {
            if (mShardManager.isUnclaimed(row.shard())) {
                Option<DaemonRow> planned = Option.of(plan.get(row.shard()));
                takeOverIfDue(row, planned, view, nowMillis);
            }
        }
    }

    private void takeOverIfDue(
            ShardRow row, Option<DaemonRow> planned, CellView view, long nowMillis) {
        if (planned.exists(daemon -> daemon.name().equals(mSelf.name()))) {
            boolean isNoticeGiven =
                    row.owner().isEmpty() || mNoticePeriod.hasElapsed(row.owner(), nowMillis);
            if (isNoticeGiven && isReachable(row)) {
                mShardManager.takeOver(row, view);
            }
            return;
        }
        // An older incarnation of this daemon may act for confirmMillis after its last group.
        boolean mayReclaim = nowMillis - mOwnRowFirstReadMillis >= mSettings.confirmMillis();
        if (row.owner().equals(mSelf.name()) && mayReclaim) {
            mShardManager.reclaim(row, view);
        }
    }

    // A daemon that cannot reach any worker of a shard of another region doesn't take it over.
    private boolean isReachable(ShardRow row) {
        if (row.region().equals(mSelf.region())) {
            return true;
        }
        if (mFailureDetector.unbrokenReadMillis() < 2 * mSettings.deadAfterMillis()) {
            return false;
        }
        if (mReachableShards.remove(row.shard())) {
            return true;
        }
        CompletableFuture<Void> unused =
                mProbe.isReachable(mHosts.hostsOf(row.shard()))
                        .thenAccept(
                                reachable -> {
                                    if (reachable) {
                                        mPollThread.execute(
                                                () -> mReachableShards.add(row.shard()));
                                    }
                                });
        return false;
    }

    private void announceForUnresponsiveOwners(
            CellView view, List<ShardRow> shards, long nowMillis) {
        long noticeAfterMillis =
                mSettings.deadAfterMillis() - mSettings.confirmMillis() - mSettings.pollMillis();
        Set<String> unresponsiveOwners = new HashSet<>();
        Set<String> regions = new HashSet<>();
        for (ShardRow row : shards) {
            boolean isOwnedByOther = !row.owner().isEmpty() && !row.owner().equals(mSelf.name());
            if (isOwnedByOther
                    && mFailureDetector.millisWithoutHeartbeat(row.owner()) >= noticeAfterMillis) {
                unresponsiveOwners.add(row.owner());
                regions.add(row.region());
            }
        }
        mNoticePeriod.updateUnresponsiveOwners(unresponsiveOwners, nowMillis);
        mOutageConfirmer.announce(
                view.daemons().stream()
                        .filter(daemon -> regions.contains(daemon.region()))
                        .filter(daemon -> !daemon.name().equals(mSelf.name()))
                        .toList());
    }

    private List<ShardRow> addNewShards(CellView view) {
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
}
