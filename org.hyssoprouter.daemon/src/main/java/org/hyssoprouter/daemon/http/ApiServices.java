package org.hyssoprouter.daemon.http;

import org.hyssoprouter.internal.config.ConfigView;

/**
 * What the {@link ApiServer} calls.
 *
 * @param requests callers' requests
 * @param jobs operators' jobs
 * @param config operators' configuration
 * @param cluster operators' views of the cell
 * @param configView configuration in force
 * @param readiness whether calls are served
 * @param observer meters
 * @since 0.1
 */
public record ApiServices(
        RequestService requests,
        JobService jobs,
        ConfigService config,
        ClusterService cluster,
        ConfigView configView,
        Readiness readiness,
        RequestObserver observer) {}
