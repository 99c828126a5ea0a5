package org.hyssoprouter.internal.placement;

/**
 * Timing of worker leases, in milliseconds.
 *
 * @param leaseMillis time after receipt of a renewal for which a worker may run tasks
 * @param renewIntervalMillis time between renewals for a worker with tasks
 * @param idleRenewIntervalMillis time between renewals for a worker without tasks
 * @param silenceThresholdMillis time without an answer after which a renewal grants no more than
 *     the rest of the present lease
 * @param callTimeoutMillis time after which a call to a worker is aborted
 * @param maxDeliveryDelayMillis time for which an aborted call may still be delivered
 * @param takeoverExpiryMillis time after a takeover by which all leases granted by the former owner
 *     have expired
 * @param startValidityMillis time after sending for which a worker accepts a start
 * @since 0.1
 */
public record LeaseTiming(
        long leaseMillis,
        long renewIntervalMillis,
        long idleRenewIntervalMillis,
        long silenceThresholdMillis,
        long callTimeoutMillis,
        long maxDeliveryDelayMillis,
        long takeoverExpiryMillis,
        long startValidityMillis) {
    private static final long MARGIN_MILLIS = 500;

    /** Returns the timing that the daemon uses unless its settings override it. */
    public static LeaseTiming defaults() {
        return of(10_000, 2_000, 1_000, 1_000);
    }

    /**
     * Derives the timing from its independent values.
     *
     * @param leaseMillis time after receipt of a renewal for which a worker may run tasks
     * @param confirmMillis time for which an owner may act after its ownership was confirmed
     * @param callTimeoutMillis time after which a call to a worker is aborted
     * @param validityMillis time after sending for which a worker accepts a start or a renewal
     */
    public static LeaseTiming of(
            long leaseMillis, long confirmMillis, long callTimeoutMillis, long validityMillis) {
        // The former owner may send its last renewal at the end of its confirmed time. The call may
        // last until its timeout and be delivered late, and the lease runs from then on.
        long takeoverExpiryMillis =
                confirmMillis + callTimeoutMillis + validityMillis + leaseMillis + MARGIN_MILLIS;
        return new LeaseTiming(
                leaseMillis,
                leaseMillis / 10,
                leaseMillis * 2 / 5,
                leaseMillis / 5,
                callTimeoutMillis,
                validityMillis,
                takeoverExpiryMillis,
                validityMillis);
    }
}
