package org.hyssoprouter.daemon;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.adapter.HttpCaller;
import org.hyssoprouter.daemon.cell.LoadPoller;
import org.hyssoprouter.daemon.cell.PeerDispatcher;
import org.hyssoprouter.daemon.cell.PeerHandlers;
import org.hyssoprouter.daemon.configuration.ConfigurationService;
import org.hyssoprouter.daemon.ownership.OwnershipService;
import org.hyssoprouter.daemon.peer.PeerLink;
import org.hyssoprouter.daemon.settings.DaemonSettings;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.util.Service;

/**
 * The whole daemon: starts its services in the order of their needs and stops them in reverse.
 *
 * @since 0.1
 */
@Singleton
public final class Daemon implements Service {
    private static final System.Logger LOG = System.getLogger(Daemon.class.getName());

    private final DaemonSettings mSettings;
    private final PeerLink mPeerLink;
    private final PeerDispatcher mDispatcher;
    private final PeerHandlers mHandlers;
    private final OwnershipService mOwnership;
    private final ConfigurationService mConfiguration;
    private final LoadPoller mLoads;
    private final HttpCaller mCaller;
    private final ScheduledExecutorService mTimer;

    @Inject
    Daemon(
            DaemonSettings settings,
            PeerLink peerLink,
            PeerDispatcher dispatcher,
            PeerHandlers handlers,
            OwnershipService ownership,
            ConfigurationService configuration,
            LoadPoller loads,
            HttpCaller caller,
            ScheduledExecutorService timer) {
        mSettings = settings;
        mPeerLink = peerLink;
        mDispatcher = dispatcher;
        mHandlers = handlers;
        mOwnership = ownership;
        mConfiguration = configuration;
        mLoads = loads;
        mCaller = caller;
        mTimer = timer;
    }

    @Override
    public void start() {
        mHandlers.registerAt(mDispatcher, mOwnership);
        mPeerLink.setHandler(mDispatcher);
        mDispatcher.registerRaw(PeerCallType.CONFIG_VERSION, mConfiguration::onVersionCall);
        mOwnership.onConfigRow(mConfiguration::onRow);
        mPeerLink.start();
        mOwnership.start();
        mConfiguration.start();
        mLoads.start();
    }

    /** Stops as planned: no new work, shards handed over, requests in flight finished. */
    @Override
    public void stop() {
        handOver();
        mLoads.stop();
        mConfiguration.stop();
        mOwnership.stop();
        mPeerLink.stop();
        mCaller.stop();
        mTimer.shutdown();
    }

    private void handOver() {
        try {
            mOwnership.handOver().get(mSettings.timing().drainSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(System.Logger.Level.WARNING, "shards were not all handed over", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
