package org.hyssoprouter.standin.executor;

import java.util.List;

/**
 * Requests and limit violations that an executor recorded since its start.
 *
 * @param executor name of the executor
 * @param overfills number of requests that started while all slots were in use
 * @param connectionOverfills number of connections that were opened above the limit
 * @param runs executed requests in the order in which they started
 * @since 0.1
 */
public record ExecutorHistory(
        String executor, long overfills, long connectionOverfills, List<Run> runs) {
    /**
     * One executed request.
     *
     * @param requestId request id assigned by the owner
     * @param wallMillis wall-clock time at which it started, in milliseconds since the epoch
     * @param key first line of the request body
     * @since 0.1
     */
    public record Run(String requestId, long wallMillis, String key) {}
}
