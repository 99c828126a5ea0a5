package org.hyssoprouter.daemon.http;

/**
 * Options of the {@link ApiServer}.
 *
 * @param ip IP address to listen on
 * @param port port to listen on
 * @param operatorToken bearer token required for operator calls
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param threads number of I/O threads
 * @param requestIdPrefix prefix of request ids, unique to each start of each daemon
 * @since 0.1
 */
public record ApiOptions(
        String ip,
        int port,
        String operatorToken,
        int maxBodyBytes,
        int threads,
        String requestIdPrefix) {}
