package org.hyssoprouter.daemon.cell;

import java.time.Clock;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Provider;
import org.hyssoprouter.daemon.placement.ShardScheduler;
import org.hyssoprouter.daemon.request.ClaimedRequestDispatcher;
import org.hyssoprouter.daemon.request.RequestScheduler;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.util.MonotonicClock;

/** Opens the shards that this daemon comes to own. */
final class LocalShardFactory implements OwnedShard.Factory {
    private final WorkerClient mWorkers;
    private final ExecutorClient mExecutors;
    private final HostDirectory mHosts;
    private final ConfigView mConfig;
    private final Clock mClock;
    private final MonotonicClock mMonotonic;
    private final ScheduledExecutorService mTimer;
    private final String mRegion;
    private final Provider<? extends ClaimedRequestDispatcher> mClaimedDispatch;

    /**
     * Creates the opener.
     *
     * @param region region of this daemon; only shards of it are settled by silence
     * @param dispatch sends claimed requests to other shards; asked for late, because it depends on
     *     the owner of this factory
     */
    LocalShardFactory(
            WorkerClient workers,
            ExecutorClient executors,
            HostDirectory hosts,
            ConfigView config,
            Clock clock,
            MonotonicClock monotonic,
            ScheduledExecutorService timer,
            String region,
            Provider<? extends ClaimedRequestDispatcher> dispatch) {
        mWorkers = workers;
        mExecutors = executors;
        mHosts = hosts;
        mConfig = config;
        mClock = clock;
        mMonotonic = monotonic;
        mTimer = timer;
        mRegion = region;
        mClaimedDispatch = dispatch;
    }

    @Override
    public LocalShard open(ShardContext context, List<ShardEvent> history) {
        boolean settledBySilence = context.region().equals(mRegion);
        ShardScheduler scheduler =
                new ShardScheduler(
                        context,
                        history,
                        mWorkers,
                        mHosts,
                        mConfig,
                        mClock,
                        mMonotonic,
                        mTimer,
                        settledBySilence);
        RequestScheduler desk =
                new RequestScheduler(
                        context, history, mExecutors, mHosts, mConfig, mClock, mMonotonic, mTimer);
        desk.setDispatcher(
                (order, claimShard) -> mClaimedDispatch.get().dispatch(order, claimShard));
        return new LocalShard(context, scheduler, desk);
    }
}
