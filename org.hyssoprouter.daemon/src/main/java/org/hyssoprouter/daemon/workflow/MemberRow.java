package org.hyssoprouter.daemon.workflow;

/**
 * A daemon of the cell.
 *
 * @param name name
 * @param incarnation run of the daemon
 * @param address {@code ip:port} of its listener for other daemons
 * @param cores processor time that it may use, in cores
 */
record MemberRow(String name, String incarnation, String address, double cores) {}
