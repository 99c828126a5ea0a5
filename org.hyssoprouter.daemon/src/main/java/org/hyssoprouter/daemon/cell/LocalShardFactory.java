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

/** Opens the shards whose ownership this daemon acquires. */
final class LocalShardFactory implements OwnedShard.Factory {
    private final WorkerClient mWorkers;
    private final ExecutorClient mExecutors;
    private final HostDirectory mHosts;
    private final ConfigView mConfig;
    private final Clock mClock;
    private final MonotonicClock mMonotonic;
    private final ScheduledExecutorService mTimer;
    private final String mRegion;
    private final Provider<? extends ClaimedRequestDispatcher> mClaimedDispatcher;

    /**
     * Creates the factory.
     *
     * @param region region of this daemon; only in its shards does silence of a worker prove that
     *     its lease has expired
     * @param claimedDispatcher sends claimed requests to other shards; a provider, because it
     *     depends on the ownership service, which uses this factory
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
            Provider<? extends ClaimedRequestDispatcher> claimedDispatcher) {
        mWorkers = workers;
        mExecutors = executors;
        mHosts = hosts;
        mConfig = config;
        mClock = clock;
        mMonotonic = monotonic;
        mTimer = timer;
        mRegion = region;
        mClaimedDispatcher = claimedDispatcher;
    }

    @Override
    public LocalShard open(ShardContext context, List<ShardEvent> history) {
        boolean silenceProvesExpiry = context.region().equals(mRegion);
        ShardScheduler shardScheduler =
                new ShardScheduler(
                        context,
                        history,
                        mWorkers,
                        mHosts,
                        mConfig,
                        mClock,
                        mMonotonic,
                        mTimer,
                        silenceProvesExpiry);
        RequestScheduler requestScheduler =
                new RequestScheduler(
                        context, history, mExecutors, mHosts, mConfig, mClock, mMonotonic, mTimer);
        requestScheduler.setDispatcher(
                (order, claimShard) -> mClaimedDispatcher.get().dispatch(order, claimShard));
        return new LocalShard(context, shardScheduler, requestScheduler);
    }
}
