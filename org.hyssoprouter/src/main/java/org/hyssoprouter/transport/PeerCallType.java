package org.hyssoprouter.transport;

/**
 * Types of calls between daemons. Numbers are fixed once released.
 *
 * @since 0.1
 */
public enum PeerCallType {
    /** A caller's request, from entry to owner: {@link RequestOrder} to {@link RequestReply}. */
    REQUEST(1),
    /** A claimed request, from its home owner to an owner with free executors. */
    CLAIMED_REQUEST(2),
    /** Submission of a job to its home shard. */
    JOB_SUBMIT(3),
    /** Cancellation of a job. */
    JOB_CANCEL(4),
    /** State of one job. */
    JOB_VIEW(5),
    /** Jobs of a shard. */
    JOB_LIST(6),
    /** Load of all shards that the peer owns. */
    LOAD(7),
    /** Whether the peer can read the table, for confirmation in an outage. */
    TABLE_STATUS(8),
    /** Planned handover of a shard. */
    HANDOVER(9),
    /** Version of the configuration in force. */
    CONFIG_VERSION(10),
    /** Takes a worker out of use or puts it back. */
    DRAIN_WORKER(11),
    /** Hosts of the shards that the peer owns, as its owner sees them. */
    HOST_VIEWS(12),
    /** Asks the approval service on behalf of an owner. */
    APPROVAL(13),
    /** A caller's call of a daemon that cannot reach the table store. */
    WORKFLOW_CALL(14),
    /** Whether the peer answers. */
    MEMBER_PING(15);

    private final int mNumber;

    PeerCallType(int number) {
        mNumber = number;
    }

    /** Returns the number on the wire. */
    public int number() {
        return mNumber;
    }
}
