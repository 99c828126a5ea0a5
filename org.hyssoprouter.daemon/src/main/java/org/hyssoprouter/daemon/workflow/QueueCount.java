package org.hyssoprouter.daemon.workflow;

/**
 * Number of workflows of a queue that wait for their first start, as this daemon has last read it.
 *
 * @param waiting number of workflows
 * @param ageMillis time since all workflows that had been accepted by then were counted, in
 *     milliseconds
 * @param epoch ownership that published the number
 */
record QueueCount(int waiting, long ageMillis, long epoch) {
    /** Age up to which callers accept a number as true, in milliseconds. */
    static final long MAX_AGE_MILLIS = 2_000;

    boolean isRecent() {
        return ageMillis <= MAX_AGE_MILLIS;
    }
}
