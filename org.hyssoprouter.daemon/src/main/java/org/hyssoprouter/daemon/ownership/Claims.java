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

/** Decides after each read which shards this daemon takes over now; on the poll thread. */
final class Claims {
    private final OwnershipSettings mSettings;
    private final DaemonRow mSelf;
    private final FailureDetector mLiveness;
    private final ShardKeeper mKeeper;
    private final OutageInquiry mInquiry;
    private final HostListView mHosts;
    private final ShardReach mReach;
    private final MonotonicClock mClock;
    private final Tasks mPoll;
    private final TakeoverNotice mNotice;
    private final Set<String> mReached = new HashSet<>();
    private long mOwnRowSeenMillis = Long.MIN_VALUE;

    Claims(
            OwnershipSettings settings,
            DaemonRow self,
            FailureDetector liveness,
            ShardKeeper keeper,
            OutageInquiry inquiry,
            HostListView hosts,
            ShardReach reach,
            MonotonicClock clock,
            Tasks poll) {
        mSettings = settings;
        mSelf = self;
        mLiveness = liveness;
        mKeeper = keeper;
        mInquiry = inquiry;
        mHosts = hosts;
        mReach = reach;
        mClock = clock;
        mPoll = poll;
        mNotice = new TakeoverNotice(settings.confirmMillis() + settings.pollMillis() / 4);
    }

    /**
     * Takes over what falls to this daemon.
     *
     * @param view rows just read
     * @param candidates live daemons that are not stopping
     */
    void run(CellView view, List<DaemonRow> candidates) {
        boolean isListed =
                view.daemon(mSelf.name())
                        .exists(row -> row.incarnation().equals(mSelf.incarnation()));
        if (!isListed) {
            return;
        }
        long nowMillis = mClock.millis();
        if (mOwnRowSeenMillis == Long.MIN_VALUE) {
            mOwnRowSeenMillis = nowMillis;
        }
        List<ShardRow> shards = withNewShards(view);
        noticeSilentOwners(view, shards, nowMillis);
        Map<String, DaemonRow> plan = OwnershipPlanner.plan(shards, candidates);
        for (ShardRow row : shards) {
            if (mKeeper.isIdle(row.shard())) {
                Option<DaemonRow> planned = Option.of(plan.get(row.shard()));
                consider(row, planned, view, nowMillis);
            }
        }
    }

    private void consider(ShardRow row, Option<DaemonRow> planned, CellView view, long nowMillis) {
        if (planned.exists(daemon -> daemon.name().equals(mSelf.name()))) {
            boolean isServed = row.owner().isEmpty() || mNotice.isServed(row.owner(), nowMillis);
            if (isServed && isReached(row)) {
                mKeeper.takeOver(row, view);
            }
            return;
        }
        // An older incarnation may act for that long after its last group.
        boolean mayTakeBack = nowMillis - mOwnRowSeenMillis >= mSettings.confirmMillis();
        if (row.owner().equals(mSelf.name()) && mayTakeBack) {
            mKeeper.takeBack(row, view);
        }
    }

    // A shard of another region is left alone by a daemon that could reach none of its workers.
    private boolean isReached(ShardRow row) {
        if (row.region().equals(mSelf.region())) {
            return true;
        }
        if (mLiveness.unbrokenReadMillis() < 2 * mSettings.deadAfterMillis()) {
            return false;
        }
        if (mReached.remove(row.shard())) {
            return true;
        }
        CompletableFuture<Void> unused =
                mReach.answers(mHosts.hostsOf(row.shard()))
                        .thenAccept(
                                answers -> {
                                    if (answers) {
                                        mPoll.execute(() -> mReached.add(row.shard()));
                                    }
                                });
        return false;
    }

    private void noticeSilentOwners(CellView view, List<ShardRow> shards, long nowMillis) {
        long silentMillis =
                mSettings.deadAfterMillis() - mSettings.confirmMillis() - mSettings.pollMillis();
        Set<String> silent = new HashSet<>();
        Set<String> regions = new HashSet<>();
        for (ShardRow row : shards) {
            boolean isOther = !row.owner().isEmpty() && !row.owner().equals(mSelf.name());
            if (isOther && mLiveness.millisWithoutHeartbeat(row.owner()) >= silentMillis) {
                silent.add(row.owner());
                regions.add(row.region());
            }
        }
        mNotice.silent(silent, nowMillis);
        mInquiry.notice(
                view.daemons().stream()
                        .filter(daemon -> regions.contains(daemon.region()))
                        .filter(daemon -> !daemon.name().equals(mSelf.name()))
                        .toList());
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
}
