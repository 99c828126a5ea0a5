package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;

/**
 * Number of workflows of a queue that wait for their first start, as this daemon has last read it.
 *
 * @param waiting number of workflows
 * @param ageMillis time since all workflows that had been accepted by then were counted, in
 *     milliseconds
 * @param epoch ownership in the owner's row that was read with the number; a new owner goes on with
 *     the number of the former one until it publishes its own
 */
record QueueCount(int waiting, long ageMillis, long epoch) {
    /** Age up to which callers accept a number as true, in milliseconds. */
    static final long MAX_AGE_MILLIS = 2_000;

    /** What a caller gets that asks for a number. */
    enum Outcome {
        /** The number. */
        ANSWERED,
        /** No number, as the last one is not recent. */
        TOO_OLD,
        /** No number, as none has been read of which the time is known. */
        UNPUBLISHED
    }

    boolean isRecent() {
        return ageMillis <= MAX_AGE_MILLIS;
    }

    /** Returns what a caller gets that asks for a number. */
    static Outcome outcomeOf(Option<QueueCount> count) {
        return count.map(it -> it.isRecent() ? Outcome.ANSWERED : Outcome.TOO_OLD)
                .getOrElse(Outcome.UNPUBLISHED);
    }
}
