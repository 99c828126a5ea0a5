package org.hyssoprouter.internal.placement;

/**
 * Times of the leases of workers, in milliseconds.
 *
 * @param leaseMillis time from receipt of a renewal for which tasks may run
 * @param renewMillis time between renewals of a worker that has tasks
 * @param idleRenewMillis time between renewals of a worker without tasks
 * @param silenceMillis silence after which renewals grant only what is left of the lease
 * @param callMillis longest time of a call to a worker
 * @param deliveryMillis longest time after which a call that was given up is still delivered
 * @param settleMillis time after a takeover at which the leases of the former owner have lapsed
 * @param notAfterMillis time for which a start is valid at its worker
 * @since 0.1
 */
public record LeaseTiming(
        long leaseMillis,
        long renewMillis,
        long idleRenewMillis,
        long silenceMillis,
        long callMillis,
        long deliveryMillis,
        long settleMillis,
        long notAfterMillis) {
    private static final long CONFIRM_MILLIS = 2_000;
    private static final long CALL_MILLIS = 1_000;
    private static final long MARGIN_MILLIS = 500;

    /** Returns the times that the daemon uses. */
    public static LeaseTiming standard() {
        long lease = 10_000;
        long delivery = 1_000;
        // The former owner sends its last renewal while it is still confirmed; a call takes its
        // time and may be delivered late; then the lease runs.
        long settle = CONFIRM_MILLIS + CALL_MILLIS + delivery + lease + MARGIN_MILLIS;
        return new LeaseTiming(lease, 1_000, 4_000, 2_000, CALL_MILLIS, delivery, settle, 1_000);
    }
}
