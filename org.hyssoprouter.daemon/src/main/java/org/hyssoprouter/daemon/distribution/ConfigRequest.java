package org.hyssoprouter.daemon.distribution;

/**
 * Asks a host for what has changed since a version.
 *
 * @param version version that the caller holds, 0 for none
 * @param waitMillis time for which the answer may be held back while there is nothing new, in
 *     milliseconds
 * @param target version of which the caller has received a part, 0 for none
 * @param offset size of that part in bytes, at which the answer goes on
 */
record ConfigRequest(long version, long waitMillis, long target, int offset) {}
