package org.hyssoprouter.internal.config;

import org.hyssoprouter.lib.Room;

/**
 * Limits and shares of one customer, with all overrides applied.
 *
 * @param customer name of the customer
 * @param homeRegion region whose shards store its idempotency keys and are preferred for its work
 * @param weight share of slots relative to other customers, at least 1
 * @param quota total room that its tasks may use in the cell
 * @param maxQueuedRequests maximum requests queued at one shard owner
 * @param requestsPerSecond maximum requests per second at one entry daemon
 * @param bulkSharePercent share of the slots of an executor that class BULK may use, in percent
 * @param retryBudgetPercent allowed retries, as a percentage of first attempts
 * @param keyRetentionMillis time for which idempotency keys are kept, in milliseconds
 * @param requestTimeoutMillis timeout of a request that specifies none, in milliseconds
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
