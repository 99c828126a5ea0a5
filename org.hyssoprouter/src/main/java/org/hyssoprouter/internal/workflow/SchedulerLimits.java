package org.hyssoprouter.internal.workflow;

/**
 * Bounds of the platform that placement builds on, all in milliseconds.
 *
 * @param leaseMillis longest lease that a worker grants
 * @param stopMillis longest time that a stop takes
 * @param confirmMillis age of an owner's last commit up to which it renews leases
 * @since 0.2
 */
public record SchedulerLimits(long leaseMillis, long stopMillis, long confirmMillis) {
    /** A worker's clock may run slower than ours by this factor (platform's bound of 2%). */
    static final double MAX_CLOCK_SLOWDOWN = 1.02;

    /** Time for the rounding of clocks and the processing of an order. */
    static final long LEASE_MARGIN_MILLIS = 300;

    /** Returns the time after which everything that a silent worker ran has lost its lease. */
    long leaseExpiryMillis() {
        return (long) ((leaseMillis + confirmMillis) * MAX_CLOCK_SLOWDOWN) + LEASE_MARGIN_MILLIS;
    }
}
