package org.hyssoprouter.internal.ownership;

/**
 * Checks whether this daemon is still confirmed as the owner of a shard. Requests, starts and other
 * external effects are allowed only while it is.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface OwnershipCheck {
    /**
     * Returns whether it is certain that no other daemon has taken the shard over yet. Cheap; never
     * blocks.
     */
    boolean isConfirmed();
}
