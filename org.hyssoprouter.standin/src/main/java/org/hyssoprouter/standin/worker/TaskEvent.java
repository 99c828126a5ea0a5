package org.hyssoprouter.standin.worker;

/**
 * Event of an attempt on a worker.
 *
 * @param wallMillis wall-clock time of the event, in milliseconds since the epoch
 * @param event kind of event
 * @param job id of the job
 * @param index index of the task in its job
 * @param attempt number of the attempt
 * @param detail shard and epoch of a start, final state of an end, or reason of a refusal
 * @since 0.1
 */
public record TaskEvent(
        long wallMillis, Kind event, String job, int index, int attempt, String detail) {
    /** Kind of an event. */
    public enum Kind {
        /** The attempt started. */
        STARTED,
        /** The attempt ended. */
        ENDED,
        /** A start was refused; nothing was executed. */
        REFUSED
    }
}
