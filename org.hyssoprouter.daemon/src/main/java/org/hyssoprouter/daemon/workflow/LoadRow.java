package org.hyssoprouter.daemon.workflow;

import java.util.Map;

/**
 * Load that the owner publishes for all daemons.
 *
 * @param pending number of workflows that wait for their first start, by queue; queues without any
 *     may be missing
 * @param rowCount number of rows that the queues are distributed over; 0 in the row of an earlier
 *     release, which has one
 */
record LoadRow(Map<String, Integer> pending, int rowCount) {
    /** Load before the first row is read. */
    static final LoadRow NONE = new LoadRow(Map.of(), 1);

    /** Returns the number of the row that a queue is in. */
    static int numberOf(String queue, int rowCount) {
        return Math.floorMod(queue.hashCode(), Math.max(1, rowCount));
    }
}
