package org.hyssoprouter.internal.placement;

/**
 * Times of the leases of workers, in milliseconds.
 *
 * @param leaseMillis time from receipt of a renewal for which tasks may run
 * @param renewIntervalMillis time between renewals of a worker that has tasks
 * @param idleRenewIntervalMillis time between renewals of a worker without tasks
 * @param silenceThresholdMillis silence after which renewals grant only what is left of the lease
 * @param callTimeoutMillis longest time of a call to a worker
 * @param maxDeliveryDelayMillis longest time after which a call that was given up is still
 *     delivered
 * @param takeoverExpiryMillis time after a takeover at which the leases of the former owner have
 *     lapsed
 * @param startValidityMillis time for which a start is valid at its worker
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

    /** Returns the times that the daemon uses when its settings name none. */
    public static LeaseTiming defaults() {
        return of(10_000, 2_000, 1_000, 1_000);
    }

    /**
     * Returns the times that follow from a few.
     *
     * @param leaseMillis time for which a renewal lets tasks run
     * @param confirmMillis time for which an owner may act after a confirmation of its ownership
     * @param callMillis longest time of a call to a worker
     * @param notAfterMillis time for which a start or a renewal is valid at its worker
     */
    public static LeaseTiming of(
            long leaseMillis, long confirmMillis, long callMillis, long notAfterMillis) {
        // The former owner sends its last renewal while it is still confirmed; a call takes its
        // time and may be delivered late; then the lease runs.
        long settle = confirmMillis + callMillis + notAfterMillis + leaseMillis + MARGIN_MILLIS;
        return new LeaseTiming(
                leaseMillis,
                leaseMillis / 10,
                leaseMillis * 2 / 5,
                leaseMillis / 5,
                callMillis,
                notAfterMillis,
                settle,
                notAfterMillis);
    }
}
