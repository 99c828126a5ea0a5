package org.hyssoprouter.internal.config;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.jspecify.annotations.Nullable;

/**
 * Complete configuration of the cell, as operators submit it and as it is stored in row {@link
 * #ROW_KEY}.
 *
 * @param version version of this document; in a submitted change, the version it is based on
 * @param author author of the document
 * @param wallMillis wall-clock time in milliseconds at which a daemon accepted it; set by that
 *     daemon
 * @param defaults values that apply unless an exception overrides them
 * @param customers all customers of the cell
 * @param exceptions overrides of the defaults for single regions or customers, each with a reason
 * @since 0.1
 */
public record ConfigDocument(
        long version,
        String author,
        long wallMillis,
        Defaults defaults,
        List<Customer> customers,
        List<PolicyOverride> exceptions) {
    /** Key of the row that stores the current document. */
    public static final String ROW_KEY = "cell/config";

    /** Returns a copy of this document with the given version and time of acceptance. */
    public ConfigDocument withVersion(long newVersion, long newWallMillis) {
        return new ConfigDocument(
                newVersion, author, newWallMillis, defaults, customers, exceptions);
    }

    /**
     * A customer of the cell.
     *
     * @param name name, unique in the cell
     * @param homeRegion region that stores its idempotency keys and is preferred for its work
     */
    public record Customer(String name, String homeRegion) {}

    /**
     * Values that apply to every customer unless overridden.
     *
     * @param weight share of slots relative to other customers
     * @param quota total room that the tasks of one customer may use
     * @param maxQueuedRequests maximum requests of one customer queued at one shard owner
     * @param requestsPerSecond maximum requests of one customer per second at one entry daemon
     * @param bulkSharePercent share of the slots of an executor that class BULK may use, in percent
     * @param retryBudgetPercent allowed retries, as a percentage of first attempts
     * @param keyRetentionMillis time for which idempotency keys are kept, in milliseconds
     * @param requestTimeoutMillis timeout of a request that specifies none, in milliseconds
     */
    public record Defaults(
            int weight,
            Room quota,
            int maxQueuedRequests,
            int requestsPerSecond,
            int bulkSharePercent,
            int retryBudgetPercent,
            long keyRetentionMillis,
            long requestTimeoutMillis) {}

    /** Scope of an override; a later constant takes precedence over an earlier one. */
    public enum Scope {
        /** All customers whose home region is {@link PolicyOverride#subject}. */
        REGION,
        /** The customer named by {@link PolicyOverride#subject}. */
        CUSTOMER
    }

    /**
     * Overrides some defaults for a region or a customer. A null field keeps the value of the wider
     * scope.
     *
     * @param scope whether the subject is a region or a customer
     * @param subject name of the customer or region
     * @param reason why the override exists, as written by the operator
     * @param weight see {@link Defaults}
     * @param quota see {@link Defaults}
     * @param maxQueuedRequests see {@link Defaults}
     * @param requestsPerSecond see {@link Defaults}
     * @param bulkSharePercent see {@link Defaults}
     * @param retryBudgetPercent see {@link Defaults}
     * @param keyRetentionMillis see {@link Defaults}
     * @param requestTimeoutMillis see {@link Defaults}
     */
    public record PolicyOverride(
            Scope scope,
            String subject,
            String reason,
            @Nullable Integer weight,
            @Nullable Room quota,
            @Nullable Integer maxQueuedRequests,
            @Nullable Integer requestsPerSecond,
            @Nullable Integer bulkSharePercent,
            @Nullable Integer retryBudgetPercent,
            @Nullable Long keyRetentionMillis,
            @Nullable Long requestTimeoutMillis) {}
}
