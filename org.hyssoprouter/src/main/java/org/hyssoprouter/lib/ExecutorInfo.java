package org.hyssoprouter.lib;

/**
 * Executor (target of requests) in the platform's host list.
 *
 * @param name name, unique in the cell
 * @param service service that the executor implements
 * @param address {@code ip:port} of its HTTP endpoint
 * @param slots maximum number of concurrent requests
 * @param connections maximum number of open connections
 * @since 0.1
 */
public record ExecutorInfo(
        String name, String service, String address, int slots, int connections) {}
