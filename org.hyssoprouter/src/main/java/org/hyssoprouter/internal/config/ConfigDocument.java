package org.hyssoprouter.internal.config;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.jspecify.annotations.Nullable;

/**
 * The whole configuration of the cell as operators write it and as row {@link #ROW_KEY} keeps it.
 *
 * @param version version of this document; in a change, the version that it was edited from
 * @param author who wrote it
 * @param wallMillis wall clock of its acceptance, set by the daemon that accepted it
 * @param defaults values for every customer that no exception names
 * @param customers all customers of the cell
 * @param exceptions short list of departures from the defaults, each with its reason
 * @since 0.1
 */
public record ConfigDocument(
        long version,
        String author,
        long wallMillis,
        Defaults defaults,
        List<Customer> customers,
        List<PolicyOverride> exceptions) {
    /** Key of the row that holds the document in force. */
    public static final String ROW_KEY = "cell/config";

    /** Returns this document as the next version, accepted at {@code wallMillis}. */
    public ConfigDocument withVersion(long newVersion, long newWallMillis) {
        return new ConfigDocument(
                newVersion, author, newWallMillis, defaults, customers, exceptions);
    }

    /**
     * A customer.
     *
     * @param name name, unique in the cell
     * @param homeRegion region of its idempotency keys and, by preference, of its work
     */
    public record Customer(String name, String homeRegion) {}

    /**
     * Values for every customer that no exception names; see {@link CustomerPolicy} for each.
     *
     * @param weight share of slots relative to other customers
     * @param quota room that the tasks of a customer may use together
     * @param maxQueuedRequests requests that may wait at one owner
     * @param requestsPerSecond admitted requests a second at one entry
     * @param bulkSharePercent slots of an executor that class BULK may use, in percent
     * @param retryBudgetPercent retries allowed, in percent of first tries
     * @param keyRetentionMillis time for which idempotency keys are kept
     * @param requestTimeoutMillis deadline of a request that names none
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

    /** What an exception applies to; a later constant wins over an earlier one. */
    public enum Scope {
        /** All customers whose home region is the subject. */
        REGION,
        /** The customer that is the subject. */
        CUSTOMER
    }

    /**
     * A departure from the defaults. Fields that are null keep the value of the wider scope.
     *
     * @param scope what it applies to
     * @param subject name of the customer or region
     * @param reason why it exists
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
