package org.hyssoprouter.daemon.workflow;

/**
 * Daemon of the cell.
 *
 * @param name name
 * @param incarnation identifier of the daemon's process run
 * @param address {@code ip:port} of its listener for other daemons
 * @param cores processor time that it may use, in cores
 */
record MemberRow(String name, String incarnation, String address, double cores) {}
