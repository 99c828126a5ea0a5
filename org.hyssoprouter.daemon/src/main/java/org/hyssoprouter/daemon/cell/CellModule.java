package org.hyssoprouter.daemon.cell;

import dagger.Module;
import dagger.Provides;
import java.time.Clock;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Provider;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.configuration.ConfigurationService;
import org.hyssoprouter.daemon.configuration.FreshConfigView;
import org.hyssoprouter.daemon.ownership.HostListView;
import org.hyssoprouter.daemon.ownership.OwnershipService;
import org.hyssoprouter.daemon.ownership.OwnershipSettings;
import org.hyssoprouter.daemon.ownership.WorkerReachabilityProbe;
import org.hyssoprouter.daemon.request.RequestRouter;
import org.hyssoprouter.daemon.settings.DaemonSettings;
import org.hyssoprouter.internal.config.ConfigHolder;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.journal.GroupCommit;
import org.hyssoprouter.internal.journal.GroupSettings;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.HostList;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Provides the components for shard ownership, for the shards of this daemon, and for calls to
 * other daemons of the cell.
 *
 * @since 0.1
 */
@Module
public final class CellModule {
    private static final long COMMIT_RETRY_DELAY_MILLIS = 100;
    private static final long CONFIG_MAX_AGE_MILLIS = 5_000;
    private static final int ROWS_PER_SNAPSHOT = 200;

    @Provides
    @Singleton
    DaemonRow self(DaemonSettings settings) {
        return new DaemonRow(
                settings.name(),
                UUID.randomUUID().toString(),
                settings.region(),
                settings.domain(),
                settings.http().toString(),
                settings.peer().toString(),
                0,
                false);
    }

    @Provides
    @Singleton
    HostListView hostListView(HostList list) {
        return new HostListView(list);
    }

    @Provides
    HostDirectory hostDirectory(HostListView view) {
        return view;
    }

    @Provides
    @Singleton
    ConfigHolder configHolder() {
        return new ConfigHolder();
    }

    @Provides
    @Singleton
    FreshConfigView freshConfigView(ConfigHolder holder, MonotonicClock clock) {
        return new FreshConfigView(holder, clock, CONFIG_MAX_AGE_MILLIS);
    }

    @Provides
    ConfigView config(FreshConfigView freshConfig) {
        return freshConfig;
    }

    @Provides
    @Singleton
    ConfigurationService configuration(
            ConfigHolder holder,
            FreshConfigView freshConfig,
            TableService table,
            OwnershipService ownership,
            PeerTransport peers,
            DaemonRow self,
            Clock clock,
            MonotonicClock monotonic,
            ScheduledExecutorService timer) {
        return new ConfigurationService(
                holder,
                freshConfig,
                table,
                ownership.groupCommit(),
                ownership,
                peers,
                self,
                clock,
                monotonic,
                timer);
    }

    @Provides
    @Singleton
    PeerDispatcher dispatcher() {
        return new PeerDispatcher();
    }

    @Provides
    @Singleton
    LoadDigestCache loadDigestCache() {
        return new LoadDigestCache();
    }

    @Provides
    @Singleton
    OwnershipService ownership(
            DaemonSettings settings,
            DaemonRow self,
            TableService table,
            ObjectStore objects,
            HostListView hosts,
            PeerTransport peers,
            OwnedShard.Factory factory,
            WorkerClient workers,
            MonotonicClock clock) {
        return new OwnershipService(
                ownershipSettings(settings),
                self,
                table,
                objects,
                hosts,
                peers,
                factory,
                new WorkerReachabilityProbe(workers),
                clock);
    }

    private static OwnershipSettings ownershipSettings(DaemonSettings settings) {
        DaemonSettings.Timing timing = settings.timing();
        GroupSettings groups =
                new GroupSettings(
                        timing.groupMillis(),
                        // Two commit groups per confirmation period, so that one may be late.
                        timing.confirmMillis() / 2,
                        COMMIT_RETRY_DELAY_MILLIS,
                        settings.limits().tableWritesPerSecond());
        return new OwnershipSettings(
                timing.pollMillis(),
                timing.deadAfterMillis(),
                timing.confirmMillis(),
                OwnershipSettings.defaults().staleMillis(),
                ROWS_PER_SNAPSHOT,
                groups);
    }

    @Provides
    ShardDirectory directory(OwnershipService ownership) {
        return ownership;
    }

    @Provides
    GroupCommit groupCommit(OwnershipService ownership) {
        return ownership.groupCommit();
    }

    @Provides
    @Singleton
    OwnedShard.Factory shardFactory(
            WorkerClient workers,
            ExecutorClient executors,
            HostDirectory hosts,
            ConfigView config,
            Clock clock,
            MonotonicClock monotonic,
            ScheduledExecutorService timer,
            DaemonSettings settings,
            Provider<RequestRouter> router) {
        return new LocalShardFactory(
                workers,
                executors,
                hosts,
                config,
                clock,
                monotonic,
                timer,
                settings.region(),
                router);
    }

    @Provides
    @Singleton
    RequestRouter requestRouter(
            ShardDirectory directory,
            HostDirectory hosts,
            ConfigView config,
            PeerTransport peers,
            ShardOwnerClient owners,
            DaemonSettings settings,
            MonotonicClock clock) {
        return new RequestRouter(
                directory,
                hosts,
                config,
                peers,
                shard -> owners.ownedShard(shard).map(LocalShard::requestScheduler),
                settings.region(),
                clock);
    }

    @Provides
    @Singleton
    ShardOwnerClient shardOwnerClient(ShardDirectory directory, PeerTransport peers) {
        return new ShardOwnerClient(directory, peers);
    }

    @Provides
    @Singleton
    JobRouter jobRouter(
            ShardDirectory directory,
            ShardOwnerClient owners,
            HostDirectory hosts,
            LoadDigestCache loadCache,
            ConfigView config,
            GroupCommit commits,
            TableService table,
            ScheduledExecutorService timer) {
        HomeShardSelector selector = new HomeShardSelector(directory, hosts, loadCache);
        return new JobRouter(directory, owners, selector, config, commits, table, timer);
    }

    @Provides
    @Singleton
    LoadPoller loadPoller(
            ShardDirectory directory,
            ShardOwnerClient owners,
            PeerTransport peers,
            LoadDigestCache loadCache,
            DaemonSettings settings,
            ScheduledExecutorService timer) {
        return new LoadPoller(directory, owners, peers, loadCache, settings.region(), timer);
    }

    @Provides
    @Singleton
    PeerCallHandlers peerCallHandlers(
            ShardOwnerClient owners, RequestRouter router, LoadPoller loadPoller) {
        return new PeerCallHandlers(owners, router, loadPoller);
    }

    @Provides
    @Singleton
    ClusterRouter clusterRouter(
            ShardDirectory directory, ShardOwnerClient owners, HostDirectory hosts) {
        return new ClusterRouter(directory, owners, hosts);
    }
}
