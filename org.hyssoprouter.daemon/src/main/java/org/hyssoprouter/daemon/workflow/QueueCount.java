package org.hyssoprouter.daemon.workflow;

/**
 * Number of workflows of a queue that wait for their first start, as this daemon has last read it.
 *
 * @param waiting number of workflows
 * @param countedMillis clock of the store up to which accepted workflows are counted, in
 *     milliseconds; 0 if that is not known
 * @param epoch ownership that published the number, or 0
 */
record QueueCount(int waiting, long countedMillis, long epoch) {}
