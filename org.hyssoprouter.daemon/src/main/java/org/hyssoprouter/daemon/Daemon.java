package org.hyssoprouter.daemon;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.adapter.HttpCaller;
import org.hyssoprouter.daemon.cell.LoadPoller;
import org.hyssoprouter.daemon.cell.PeerCallHandlers;
import org.hyssoprouter.daemon.cell.PeerDispatcher;
import org.hyssoprouter.daemon.configuration.ConfigurationService;
import org.hyssoprouter.daemon.http.ApiServer;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.OwnershipService;
import org.hyssoprouter.daemon.peer.CrossRegionLimit;
import org.hyssoprouter.daemon.peer.PeerLink;
import org.hyssoprouter.daemon.peer.RegionSettings;
import org.hyssoprouter.daemon.settings.DaemonSettings;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.util.Service;

/**
 * Starts the daemon's services in dependency order and runs the planned stop.
 *
 * @since 0.1
 */
@Singleton
public final class Daemon implements Service {
    private static final EventLogger LOG = EventLogger.of(Daemon.class);

    private static final long IN_FLIGHT_POLL_MILLIS = 20;

    /** Number of reads of the cell's rows after which the other daemons know a new owner. */
    private static final int PEER_READS = 2;

    private final DaemonSettings mSettings;
    private final DaemonReadiness mReadiness;
    private final ApiServer mApi;
    private final PeerLink mPeerLink;
    private final PeerDispatcher mDispatcher;
    private final PeerCallHandlers mHandlers;
    private final OwnershipService mOwnership;
    private final ConfigurationService mConfiguration;
    private final LoadPoller mLoadPoller;
    private final HttpCaller mHttpCaller;
    private final ScheduledExecutorService mTimer;

    @Inject
    Daemon(
            DaemonSettings settings,
            DaemonReadiness readiness,
            ApiServer api,
            PeerLink peerLink,
            PeerDispatcher dispatcher,
            PeerCallHandlers handlers,
            OwnershipService ownership,
            ConfigurationService configuration,
            LoadPoller loadPoller,
            HttpCaller httpCaller,
            ScheduledExecutorService timer) {
        mSettings = settings;
        mReadiness = readiness;
        mApi = api;
        mPeerLink = peerLink;
        mDispatcher = dispatcher;
        mHandlers = handlers;
        mOwnership = ownership;
        mConfiguration = configuration;
        mLoadPoller = loadPoller;
        mHttpCaller = httpCaller;
        mTimer = timer;
    }

    @Override
    public void start() {
        mHandlers.registerWith(mDispatcher, mOwnership);
        mPeerLink.setHandler(mDispatcher);
        mDispatcher.registerRaw(PeerCallType.CONFIG_VERSION, mConfiguration::onVersionCall);
        mOwnership.addConfigRowListener(mConfiguration::onRow);
        mPeerLink.setRegionSettings(regionSettings());
        mHttpCaller.start();
        mPeerLink.start();
        mOwnership.start();
        mConfiguration.start();
        mLoadPoller.start();
        mApi.start();
        LOG.log(LogEvent.DAEMON_STARTED, mSettings.name(), mSettings.http(), mSettings.peer());
    }

    private RegionSettings regionSettings() {
        long bytesPerSecond = mSettings.limits().regionLinkBytesPerSecond();
        CrossRegionLimit limit =
                new CrossRegionLimit(
                        bytesPerSecond, Math.max(bytesPerSecond, CrossRegionLimit.MIN_BURST_BYTES));
        return new RegionSettings(mSettings.region(), this::regionOf, limit);
    }

    private String regionOf(String peerAddress) {
        return mOwnership.liveDaemons().stream()
                .filter(daemon -> daemon.peerAddress().equals(peerAddress))
                .map(DaemonRow::region)
                .findFirst()
                .orElse("");
    }

    /**
     * Runs a planned stop: refuses new calls, hands over the shards and finishes calls in flight.
     */
    @Override
    public void stop() {
        long startNanos = System.nanoTime();
        LOG.log(LogEvent.STOP_BEGAN, mSettings.name());
        mReadiness.markNotReady();
        sleepMillis(TimeUnit.SECONDS.toMillis(mSettings.timing().balancerSeconds()));
        mReadiness.refuseCalls();
        boolean ownsShards = ownsShards();
        handOverShards();
        if (ownsShards) {
            awaitReadsByPeers();
        }
        awaitInFlightCalls();
        mApi.stop();
        mLoadPoller.stop();
        mConfiguration.stop();
        mOwnership.stop();
        mPeerLink.stop();
        mHttpCaller.stop();
        mTimer.shutdown();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        LOG.log(LogEvent.STOP_ENDED, mSettings.name(), millis);
    }

    private boolean ownsShards() {
        return mOwnership.shards().stream()
                .anyMatch(row -> mOwnership.ownedShard(row.shard()).isDefined());
    }

    /**
     * Waits until the other daemons have read that this one owns no shard anymore. Until then they
     * call it, and cannot tell whether a call ran that arrives while the peer link closes.
     */
    private void awaitReadsByPeers() {
        sleepMillis(PEER_READS * mSettings.timing().pollMillis());
    }

    /** Waits up to {@code drainSeconds} until all calls in flight are answered. */
    private void awaitInFlightCalls() {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.SECONDS.toNanos(mSettings.timing().drainSeconds());
        while (mApi.inFlight() > 0 && System.nanoTime() - deadlineNanos < 0) {
            sleepMillis(IN_FLIGHT_POLL_MILLIS);
        }
    }

    private static void sleepMillis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handOverShards() {
        try {
            mOwnership.handOver().get(mSettings.timing().drainSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(LogEvent.HANDOVER_INCOMPLETE, e, e.getClass().getSimpleName());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
