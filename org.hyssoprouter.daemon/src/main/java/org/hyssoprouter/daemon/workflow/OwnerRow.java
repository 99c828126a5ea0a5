package org.hyssoprouter.daemon.workflow;

/**
 * Row of the owner of all pools; it changes with each of its commits.
 *
 * @param owner name of the daemon
 * @param incarnation run of the daemon
 * @param address {@code ip:port} of its listener for other daemons
 * @param epoch number of the ownership, also the fencing token
 * @param sequence number of the commit in this ownership
 * @param released whether the owner has given the pools up
 */
record OwnerRow(
        String owner,
        String incarnation,
        String address,
        long epoch,
        long sequence,
        boolean released) {
    OwnerRow nextCommit() {
        return new OwnerRow(owner, incarnation, address, epoch, sequence + 1, released);
    }

    OwnerRow releasingCommit() {
        return new OwnerRow(owner, incarnation, address, epoch, sequence + 1, true);
    }

    boolean sameOwnership(OwnerRow other) {
        return epoch == other.epoch && incarnation.equals(other.incarnation);
    }
}
