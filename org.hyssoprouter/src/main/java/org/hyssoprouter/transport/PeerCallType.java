package org.hyssoprouter.transport;

/**
 * Types of calls between daemons. A released number never changes.
 *
 * @since 0.1
 */
public enum PeerCallType {
    /**
     * Forwards a caller's {@link RequestOrder} to an owner, which returns a {@link RequestReply}.
     */
    REQUEST(1),
    /** Forwards a request with a claimed idempotency key to an owner with free executors. */
    CLAIMED_REQUEST(2),
    /** Submits a job to the owner of its home shard. */
    JOB_SUBMIT(3),
    /** Cancels a job. */
    JOB_CANCEL(4),
    /** Returns the status of one job. */
    JOB_VIEW(5),
    /** Lists the jobs of a shard. */
    JOB_LIST(6),
    /** Returns the load of all shards that the peer owns. */
    LOAD(7),
    /** Returns whether the peer can read the table, to confirm ownership in a table outage. */
    TABLE_STATUS(8),
    /** Offers the planned handover of a shard. */
    HANDOVER(9),
    /** Returns the version of the configuration in force. */
    CONFIG_VERSION(10),
    /** Drains a worker or puts it back into service. */
    DRAIN_WORKER(11),
    /** Returns the status of the hosts of the shards that the peer owns. */
    HOST_VIEWS(12),
    /** Calls the approval service on behalf of the owner of the pools. */
    APPROVAL(13),
    /** Forwards a caller's workflow call from a daemon that cannot reach the table store. */
    WORKFLOW_CALL(14),
    /** Checks that the peer answers. */
    MEMBER_PING(15),
    /** Asks the peer to take the pools over from an owner whose commits the store refuses. */
    POOLS_TAKEOVER(16),
    /** Returns what has changed in the configuration since the version that the caller holds. */
    CONFIG_CHANGES(17);

    private final int mNumber;

    PeerCallType(int number) {
        mNumber = number;
    }

    /** Returns the number that identifies the type on the wire. */
    public int number() {
        return mNumber;
    }
}
