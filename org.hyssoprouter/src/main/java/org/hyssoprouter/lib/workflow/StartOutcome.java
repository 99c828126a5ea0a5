package org.hyssoprouter.lib.workflow;

/**
 * What became of an order to start a run.
 *
 * @since 0.2
 */
public enum StartOutcome {
    /** The run is there. */
    ACCEPTED,
    /** The worker has no room. */
    NO_ROOM,
    /** The ticket is missing or no longer valid. */
    NO_TICKET,
    /** A run with this number or a higher one has been there. */
    OLD_RUN,
    /** The order arrived after its deadline. */
    TOO_LATE,
    /** Another owner with a higher token has been there. */
    FENCED,
    /** The worker is unhealthy and did nothing. */
    UNHEALTHY,
    /** Another life of the worker answered and did nothing. */
    OTHER_LIFE,
    /** The worker does not understand the order. */
    INVALID,
    /** The order was never sent. */
    NOT_SENT,
    /** No answer; the run may be there, now or later. */
    UNKNOWN
}
