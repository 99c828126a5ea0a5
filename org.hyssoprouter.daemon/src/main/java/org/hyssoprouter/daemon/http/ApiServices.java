package org.hyssoprouter.daemon.http;

import org.hyssoprouter.internal.config.ConfigView;

/**
 * Services that the {@link ApiServer} delegates to.
 *
 * @param requests routes callers' requests
 * @param jobs manages jobs for operators
 * @param config reads and replaces the configuration for operators
 * @param cluster reports shards and hosts to operators, and drains workers
 * @param configView configuration in force
 * @param readiness whether the daemon accepts calls
 * @param observer metrics of callers' requests
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
