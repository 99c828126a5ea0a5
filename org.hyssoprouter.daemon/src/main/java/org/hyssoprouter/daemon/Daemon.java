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
 * The whole daemon: starts its services in the order of their needs and stops them in reverse.
 *
 * @since 0.1
 */
@Singleton
public final class Daemon implements Service {
    private static final EventLogger LOG = EventLogger.of(Daemon.class);

    private static final long ANSWER_POLL_MILLIS = 20;

    private final DaemonSettings mSettings;
    private final DaemonReadiness mReadiness;
    private final ApiServer mApi;
    private final PeerLink mPeerLink;
    private final PeerDispatcher mDispatcher;
    private final PeerCallHandlers mHandlers;
    private final OwnershipService mOwnership;
    private final ConfigurationService mConfiguration;
    private final LoadPoller mLoads;
    private final HttpCaller mCaller;
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
            LoadPoller loads,
            HttpCaller caller,
            ScheduledExecutorService timer) {
        mSettings = settings;
        mReadiness = readiness;
        mApi = api;
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
        mHandlers.registerWith(mDispatcher, mOwnership);
        mPeerLink.setHandler(mDispatcher);
        mDispatcher.registerRaw(PeerCallType.CONFIG_VERSION, mConfiguration::onVersionCall);
        mOwnership.addConfigRowListener(mConfiguration::onRow);
        mPeerLink.setRegionSettings(linkRegions());
        mPeerLink.start();
        mOwnership.start();
        mConfiguration.start();
        mLoads.start();
        mApi.start();
        LOG.log(LogEvent.DAEMON_STARTED, mSettings.name(), mSettings.http(), mSettings.peer());
    }

    private RegionSettings linkRegions() {
        long bytesPerSecond = mSettings.limits().regionLinkBytesPerSecond();
        CrossRegionLimit budget =
                new CrossRegionLimit(
                        bytesPerSecond, Math.max(bytesPerSecond, CrossRegionLimit.MIN_BURST_BYTES));
        return new RegionSettings(mSettings.region(), this::regionOf, budget);
    }

    private String regionOf(String peerAddress) {
        return mOwnership.liveDaemons().stream()
                .filter(daemon -> daemon.peerAddress().equals(peerAddress))
                .map(DaemonRow::region)
                .findFirst()
                .orElse("");
    }

    /** Stops as planned: no new work, shards handed over, requests in flight finished. */
    @Override
    public void stop() {
        long startNanos = System.nanoTime();
        LOG.log(LogEvent.STOP_BEGAN, mSettings.name());
        mReadiness.markNotReady();
        pause(TimeUnit.SECONDS.toMillis(mSettings.timing().balancerSeconds()));
        mReadiness.refuseCalls();
        handOver();
        awaitAnswers();
        mApi.stop();
        mLoads.stop();
        mConfiguration.stop();
        mOwnership.stop();
        mPeerLink.stop();
        mCaller.stop();
        mTimer.shutdown();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        LOG.log(LogEvent.STOP_ENDED, mSettings.name(), millis);
    }

    /** Waits until every call that has arrived is answered, within the bound of a planned stop. */
    private void awaitAnswers() {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.SECONDS.toNanos(mSettings.timing().drainSeconds());
        while (mApi.inFlight() > 0 && System.nanoTime() - deadlineNanos < 0) {
            pause(ANSWER_POLL_MILLIS);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handOver() {
        try {
            mOwnership.handOver().get(mSettings.timing().drainSeconds(), TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(LogEvent.HANDOVER_INCOMPLETE, e, e.getClass().getSimpleName());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
