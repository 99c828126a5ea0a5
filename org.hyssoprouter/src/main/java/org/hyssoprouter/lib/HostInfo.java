package org.hyssoprouter.lib;

import java.util.List;

/**
 * Host of a worker in the platform's host list.
 *
 * @param worker name of the worker, unique in the cell
 * @param region region
 * @param domain failure domain
 * @param rack rack within the failure domain
 * @param address {@code ip:port} of the worker's HTTP endpoint
 * @param state whether the host may receive work
 * @param capacity total resources of the worker
 * @param executors executors on this host
 * @since 0.1
 */
public record HostInfo(
        String worker,
        String region,
        String domain,
        String rack,
        String address,
        HostState state,
        Room capacity,
        List<ExecutorInfo> executors) {}
