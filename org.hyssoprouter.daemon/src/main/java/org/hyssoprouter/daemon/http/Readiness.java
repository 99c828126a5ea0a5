package org.hyssoprouter.daemon.http;

/**
 * Says whether the daemon takes calls.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Readiness {
    /** Returns whether the balancer shall send calls to this daemon. */
    boolean isReady();

    /**
     * Returns whether calls that arrive are served. At a planned stop this stays true for some time
     * after {@link #isReady()} turned false, until the balancer has noticed.
     */
    default boolean isServing() {
        return isReady();
    }
}
