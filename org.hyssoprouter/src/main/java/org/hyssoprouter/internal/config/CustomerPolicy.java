package org.hyssoprouter.internal.config;

import org.hyssoprouter.lib.Room;

/**
 * Limits and shares of one customer, with the exceptions that name it already applied.
 *
 * @param customer name
 * @param homeRegion region whose shards keep its idempotency keys and run its work by preference
 * @param weight share of slots relative to other customers, at least 1
 * @param quota room that its tasks may use together in the cell
 * @param maxQueuedRequests requests that may wait at one owner
 * @param requestsPerSecond admitted requests a second at one entry
 * @param bulkSharePercent slots of an executor that class BULK may use, in percent
 * @param retryBudgetPercent retries allowed, in percent of first tries
 * @param keyRetentionMillis time for which idempotency keys are kept
 * @param requestTimeoutMillis deadline of a request that names none
 * @since 0.1
 */
public record CustomerPolicy(
        String customer,
        String homeRegion,
        int weight,
        Room quota,
        int maxQueuedRequests,
        int requestsPerSecond,
        int bulkSharePercent,
        int retryBudgetPercent,
        long keyRetentionMillis,
        long requestTimeoutMillis) {}
