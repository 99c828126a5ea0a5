package org.hyssoprouter.daemon;

import dagger.Module;
import dagger.Provides;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.cell.ClusterRouter;
import org.hyssoprouter.daemon.cell.JobRouter;
import org.hyssoprouter.daemon.configuration.ConfigurationService;
import org.hyssoprouter.daemon.http.ApiOptions;
import org.hyssoprouter.daemon.http.ApiServer;
import org.hyssoprouter.daemon.http.ApiServices;
import org.hyssoprouter.daemon.http.RequestObserver;
import org.hyssoprouter.daemon.metrics.ControlPlaneMeters;
import org.hyssoprouter.daemon.metrics.RequestMeters;
import org.hyssoprouter.daemon.ownership.TableCounters;
import org.hyssoprouter.daemon.peer.PeerLink;
import org.hyssoprouter.daemon.request.RequestRouter;
import org.hyssoprouter.daemon.settings.DaemonSettings;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.ownership.DaemonRow;

/**
 * Dagger module for the HTTP API and its request observer.
 *
 * @since 0.1
 */
@Module
public final class ApiModule {
    @Provides
    @Singleton
    RequestObserver observer(PeerLink link, TableCounters table) {
        RequestMeters meters = new RequestMeters();
        ControlPlaneMeters.register(meters.registry(), link.counters(), table);
        return meters;
    }

    @Provides
    @Singleton
    ApiServer api(
            DaemonSettings settings,
            DaemonRow self,
            RequestRouter requests,
            JobRouter jobs,
            ConfigurationService configuration,
            ClusterRouter cluster,
            ConfigView config,
            DaemonReadiness readiness,
            RequestObserver observer) {
        ApiOptions options =
                new ApiOptions(
                        settings.http().ip(),
                        settings.http().port(),
                        settings.operatorToken(),
                        settings.limits().maxBodyBytes(),
                        settings.limits().httpThreads(),
                        self.incarnation());
        ApiServices services =
                new ApiServices(
                        requests::route, jobs, configuration, cluster, config, readiness, observer);
        return new ApiServer(options, services);
    }
}
