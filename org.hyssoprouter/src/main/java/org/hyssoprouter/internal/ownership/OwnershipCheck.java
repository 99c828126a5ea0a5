package org.hyssoprouter.internal.ownership;

/**
 * Says whether the owner of a shard may have an outside effect at this moment.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface OwnershipCheck {
    /** Returns whether no other daemon can have taken the shard over yet; cheap, never blocks. */
    boolean isConfirmed();
}
