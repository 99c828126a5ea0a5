package org.hyssoprouter.daemon.peer;

import java.util.function.Function;

/**
 * Settings by which a peer link recognizes and limits traffic to other regions.
 *
 * @param region region of this daemon
 * @param regionOf maps a peer address to the region of that daemon, or to an empty string if
 *     unknown
 * @param limit limit on the bytes sent to other regions
 * @since 0.1
 */
public record RegionSettings(
        String region, Function<String, String> regionOf, CrossRegionLimit limit) {
    /** Returns whether a region differs from the own one; false for an unknown (empty) region. */
    boolean isOtherRegion(String name) {
        return !name.isEmpty() && !name.equals(region);
    }
}
