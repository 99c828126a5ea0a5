package org.hyssoprouter.daemon.workflow;

/**
 * Row that names the owner of all pools; each commit of the owner rewrites it.
 *
 * @param owner name of the daemon
 * @param incarnation identifier of the daemon's process run
 * @param address {@code ip:port} of its listener for other daemons
 * @param epoch number of the ownership; also the fencing token
 * @param sequence number of the commit within this ownership
 * @param released whether the owner has released the pools
 */
record OwnerRow(
        String owner,
        String incarnation,
        String address,
        long epoch,
        long sequence,
        boolean released) {
    /** Returns the row to write with the next commit. */
    OwnerRow nextCommit() {
        return new OwnerRow(owner, incarnation, address, epoch, sequence + 1, released);
    }

    /** Returns the row to write with the commit that releases the pools. */
    OwnerRow releasingCommit() {
        return new OwnerRow(owner, incarnation, address, epoch, sequence + 1, true);
    }

    boolean sameOwnership(OwnerRow other) {
        return epoch == other.epoch && incarnation.equals(other.incarnation);
    }
}
