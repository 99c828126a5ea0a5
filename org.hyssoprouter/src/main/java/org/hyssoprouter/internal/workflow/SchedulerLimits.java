package org.hyssoprouter.internal.workflow;

/**
 * Time limits of the platform that the scheduler relies on, all in milliseconds, and what its
 * choice of workers learns.
 *
 * @param leaseMillis maximum duration of a worker's lease
 * @param stopMillis maximum time that a worker takes to stop a run
 * @param confirmMillis maximum age of an owner's last commit at which it still renews leases
 * @param learning what the choice of workers learns
 * @param overload what the scheduler does when work exceeds the pool
 * @since 0.2
 */
public record SchedulerLimits(
        long leaseMillis,
        long stopMillis,
        long confirmMillis,
        PlacementLearning learning,
        OverloadPolicy overload) {
    /** Creates limits with an overload policy of a scheduler that learns nothing from progress. */
    public SchedulerLimits(
            long leaseMillis, long stopMillis, long confirmMillis, OverloadPolicy overload) {
        this(leaseMillis, stopMillis, confirmMillis, PlacementLearning.NONE, overload);
    }

    /** Returns these limits with what the choice of workers learns. */
    SchedulerLimits withLearning(PlacementLearning other) {
        return new SchedulerLimits(leaseMillis, stopMillis, confirmMillis, other, overload);
    }

    /**
     * Maximum factor by which a worker's clock may be slower than the owner's. The platform bounds
     * the drift at 2%.
     */
    static final double MAX_CLOCK_SLOWDOWN = 1.02;

    /** Margin for clock rounding and for the processing of an order. */
    static final long LEASE_MARGIN_MILLIS = 300;

    /** Creates limits of a scheduler without overload policy that learns nothing from progress. */
    public SchedulerLimits(long leaseMillis, long stopMillis, long confirmMillis) {
        this(leaseMillis, stopMillis, confirmMillis, PlacementLearning.NONE, OverloadPolicy.NONE);
    }

    /**
     * Returns the time after which all leases that a previous owner may have granted to a worker
     * have expired, if the worker does not report.
     */
    long leaseExpiryMillis() {
        return (long) ((leaseMillis + confirmMillis) * MAX_CLOCK_SLOWDOWN) + LEASE_MARGIN_MILLIS;
    }
}
