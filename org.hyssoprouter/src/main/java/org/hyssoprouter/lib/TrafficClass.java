package org.hyssoprouter.lib;

/**
 * Priority class of a request or job, in descending order of priority.
 *
 * @since 0.1
 */
public enum TrafficClass {
    /** Must start within about a second and may preempt batch work. */
    URGENT,
    /** The default class. */
    NORMAL,
    /** Large or seasonal work that tolerates delay. */
    BULK
}
