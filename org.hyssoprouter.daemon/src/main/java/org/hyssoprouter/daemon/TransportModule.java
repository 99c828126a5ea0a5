package org.hyssoprouter.daemon;

import dagger.Module;
import dagger.Provides;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.adapter.HttpCaller;
import org.hyssoprouter.daemon.adapter.HttpExecutorClient;
import org.hyssoprouter.daemon.adapter.HttpHostList;
import org.hyssoprouter.daemon.adapter.HttpObjectStore;
import org.hyssoprouter.daemon.adapter.HttpTableService;
import org.hyssoprouter.daemon.adapter.HttpWorkerClient;
import org.hyssoprouter.daemon.ownership.TableCounters;
import org.hyssoprouter.daemon.peer.PeerLink;
import org.hyssoprouter.daemon.settings.DaemonSettings;
import org.hyssoprouter.internal.placement.LeaseTiming;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostList;
import org.hyssoprouter.transport.ObjectStore;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Dagger module for the adapters that implement the transport ports.
 *
 * @since 0.1
 */
@Module
public final class TransportModule {
    private static final int MAX_CALLS_PER_TARGET = 64;
    private static final int TIMER_THREADS = 2;

    @Provides
    @Singleton
    ScheduledExecutorService timer() {
        return Executors.newScheduledThreadPool(
                TIMER_THREADS, DaemonThreadFactories.named("timer"));
    }

    @Provides
    @Singleton
    HttpCaller caller() {
        return new HttpCaller(
                Executors.newCachedThreadPool(DaemonThreadFactories.named("http-call")),
                MAX_CALLS_PER_TARGET);
    }

    @Provides
    @Singleton
    TableCounters tableCounters(HttpCaller caller, DaemonSettings settings) {
        return new TableCounters(
                new HttpTableService(
                        caller,
                        settings.platform().toString(),
                        settings.timing().platformTimeoutMillis()));
    }

    @Provides
    TableService table(TableCounters counters) {
        return counters;
    }

    @Provides
    @Singleton
    ObjectStore objects(HttpCaller caller, DaemonSettings settings) {
        return new HttpObjectStore(
                caller, settings.platform().toString(), settings.timing().platformTimeoutMillis());
    }

    @Provides
    @Singleton
    HostList hostList(HttpCaller caller, DaemonSettings settings) {
        return new HttpHostList(
                caller, settings.platform().toString(), settings.timing().platformTimeoutMillis());
    }

    @Provides
    @Singleton
    WorkerClient workers(HttpCaller caller) {
        // The time after which an unresponsive worker is considered lost depends on this timeout.
        return new HttpWorkerClient(caller, LeaseTiming.defaults().callTimeoutMillis());
    }

    @Provides
    @Singleton
    ExecutorClient executors(HttpCaller caller, DaemonSettings settings) {
        return new HttpExecutorClient(caller, settings.timing().workerTimeoutMillis());
    }

    @Provides
    @Singleton
    PeerLink peerLink(DaemonSettings settings, MonotonicClock clock) {
        return new PeerLink(settings.peer().toString(), clock);
    }

    @Provides
    PeerTransport peers(PeerLink link) {
        return link;
    }
}
