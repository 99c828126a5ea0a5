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
 * @param unopenedCount number of ownerships in a row that were released before the pools were open
 * @param countedMillis clock of the store up to which the load rows count accepted workflows, in
 *     milliseconds; 0 if that is not known
 */
record OwnerRow(
        String owner,
        String incarnation,
        String address,
        long epoch,
        long sequence,
        boolean released,
        int unopenedCount,
        long countedMillis) {
    /** Creates a row after an ownership that opened its pools. */
    OwnerRow(
            String owner,
            String incarnation,
            String address,
            long epoch,
            long sequence,
            boolean released) {
        this(owner, incarnation, address, epoch, sequence, released, 0, 0);
    }

    /** Returns the row to write with the next commit. */
    OwnerRow nextCommit() {
        return new OwnerRow(
                owner,
                incarnation,
                address,
                epoch,
                sequence + 1,
                released,
                unopenedCount,
                countedMillis);
    }

    /** Returns the row to write with the commit that releases the pools. */
    OwnerRow releasingCommit() {
        return new OwnerRow(
                owner,
                incarnation,
                address,
                epoch,
                sequence + 1,
                true,
                unopenedCount,
                countedMillis);
    }

    /** Returns this row with another count of unopened ownerships. */
    OwnerRow withUnopenedCount(int count) {
        return new OwnerRow(
                owner, incarnation, address, epoch, sequence, released, count, countedMillis);
    }

    /** Returns this row with another time up to which workflows are counted. */
    OwnerRow withCountedMillis(long millis) {
        return new OwnerRow(
                owner, incarnation, address, epoch, sequence, released, unopenedCount, millis);
    }

    boolean sameOwnership(OwnerRow other) {
        return epoch == other.epoch && incarnation.equals(other.incarnation);
    }
}
