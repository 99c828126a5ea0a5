package org.hyssoprouter.daemon.http;

/**
 * Options of the {@link ApiServer}.
 *
 * @param ip IP number to listen on
 * @param port port to listen on
 * @param operatorToken token that operators' calls must carry
 * @param maxBodyBytes largest body of a call
 * @param threads threads for input and output
 * @param requestIdPrefix beginning of request ids, different for each start of each daemon
 * @since 0.1
 */
public record ApiOptions(
        String ip,
        int port,
        String operatorToken,
        int maxBodyBytes,
        int threads,
        String requestIdPrefix) {}
