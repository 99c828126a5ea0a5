package org.hyssoprouter.daemon.workflow;

/**
 * Request of a pool owner to other daemons to take over, as the table store refuses its commits.
 *
 * @param incarnation incarnation of the owner
 * @param epoch epoch of its ownership
 */
record TakeoverRequest(String incarnation, long epoch) {}
