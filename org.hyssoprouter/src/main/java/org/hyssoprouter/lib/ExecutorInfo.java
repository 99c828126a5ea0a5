package org.hyssoprouter.lib;

/**
 * An executor (target of requests) as the platform lists it.
 *
 * @param name name, unique in the cell
 * @param service service that the executor answers for
 * @param address {@code ip:port} of its HTTP endpoint
 * @param slots requests that it may run at once
 * @param connections connections that it may have open at once
 * @since 0.1
 */
public record ExecutorInfo(
        String name, String service, String address, int slots, int connections) {}
