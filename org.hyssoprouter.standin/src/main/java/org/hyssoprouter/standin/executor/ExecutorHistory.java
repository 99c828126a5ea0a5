package org.hyssoprouter.standin.executor;

import java.util.List;

/**
 * What an executor saw since its start.
 *
 * @param executor name of the executor
 * @param overfills requests that began while all slots were in use
 * @param connectionOverfills connections that were opened above the limit
 * @param runs requests in the order in which they began to run
 * @since 0.1
 */
public record ExecutorHistory(
        String executor, long overfills, long connectionOverfills, List<Run> runs) {
    /**
     * One request that ran.
     *
     * @param requestId id given by the owner
     * @param wallMillis instant at which it began, by the wall clock
     * @param key first line of its body
     * @since 0.1
     */
    public record Run(String requestId, long wallMillis, String key) {}
}
