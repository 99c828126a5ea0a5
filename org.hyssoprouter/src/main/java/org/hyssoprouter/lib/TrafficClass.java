package org.hyssoprouter.lib;

/**
 * Class of a request or job; an earlier constant is more pressing.
 *
 * @since 0.1
 */
public enum TrafficClass {
    /** Must start within about a second, may push batch work aside. */
    URGENT,
    /** The ordinary class. */
    NORMAL,
    /** Large or seasonal work that can wait. */
    BULK
}
