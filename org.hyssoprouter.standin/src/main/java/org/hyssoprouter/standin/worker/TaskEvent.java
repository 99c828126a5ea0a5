package org.hyssoprouter.standin.worker;

/**
 * What happened to an attempt on a worker.
 *
 * @param wallMillis instant by the wall clock
 * @param event kind of event
 * @param job id of the job
 * @param index position of the task in its job
 * @param attempt attempt
 * @param detail state at the end, or reason of a refusal
 * @since 0.1
 */
public record TaskEvent(
        long wallMillis, Kind event, String job, int index, int attempt, String detail) {
    /** Kinds of event. */
    public enum Kind {
        /** The attempt began to run. */
        STARTED,
        /** The attempt ended. */
        ENDED,
        /** A start was refused and nothing ran. */
        REFUSED
    }
}
