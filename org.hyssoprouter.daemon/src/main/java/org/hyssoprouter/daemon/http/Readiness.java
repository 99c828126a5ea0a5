package org.hyssoprouter.daemon.http;

/**
 * Reports whether the daemon accepts calls.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Readiness {
    /** Returns whether the load balancer should send calls to this daemon. */
    boolean isReady();

    /**
     * Returns whether arriving calls are served. During a planned stop this stays true for some
     * time after {@link #isReady()} has become false, until the balancer has stopped sending calls.
     */
    default boolean isServing() {
        return isReady();
    }
}
