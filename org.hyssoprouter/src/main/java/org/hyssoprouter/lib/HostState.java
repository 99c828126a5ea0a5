package org.hyssoprouter.lib;

/**
 * State of a host in the platform's list.
 *
 * @since 0.1
 */
public enum HostState {
    /** May receive work. */
    LIVE,
    /** Is being removed from the fleet and must receive no new work. */
    LEAVING
}
