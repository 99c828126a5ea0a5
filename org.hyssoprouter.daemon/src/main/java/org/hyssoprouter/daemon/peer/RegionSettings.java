package org.hyssoprouter.daemon.peer;

import java.util.function.Function;

/**
 * What the link knows of regions.
 *
 * @param region region of this daemon
 * @param regionOf region of the daemon at a peer address, or empty if it is not known
 * @param limit limit on what is sent to other regions
 * @since 0.1
 */
public record RegionSettings(
        String region, Function<String, String> regionOf, CrossRegionLimit limit) {
    /** Returns whether a named region is another one; a region that is not known is not. */
    boolean isOtherRegion(String name) {
        return !name.isEmpty() && !name.equals(region);
    }
}
