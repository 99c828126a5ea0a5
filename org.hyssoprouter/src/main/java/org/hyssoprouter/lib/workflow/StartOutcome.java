package org.hyssoprouter.lib.workflow;

/**
 * Result of an order to start a run.
 *
 * @since 0.2
 */
public enum StartOutcome {
    /** The worker has started the run. */
    ACCEPTED,
    /** The worker has too little free capacity. */
    NO_ROOM,
    /** The approval ticket is missing or has expired. */
    NO_TICKET,
    /** The worker has already seen a run of the task with this number or a higher one. */
    OLD_RUN,
    /** The order arrived after its deadline. */
    TOO_LATE,
    /** The worker has accepted orders of another owner with a higher fencing token. */
    FENCED,
    /** The worker is unhealthy and ignored the order. */
    UNHEALTHY,
    /** Another incarnation of the worker answered and ignored the order. */
    OTHER_LIFE,
    /** The worker rejected the order as malformed. */
    INVALID,
    /** The order was never sent. */
    NOT_SENT,
    /** No answer arrived; the run may have started or may still start. */
    UNKNOWN
}
