package org.hyssoprouter.lib.workflow;

import java.util.List;

/**
 * What a worker says of the runs on it.
 *
 * @param clockMillis its steady clock, in milliseconds
 * @param incarnationMillis start of its present life, in milliseconds since 1970, 0 if unknown
 * @param running runs that occupy room
 * @param ended runs that have ended and were not acknowledged yet, in order
 * @since 0.2
 */
public record RunReport(
        long clockMillis, long incarnationMillis, List<Running> running, List<Ended> ended) {
    /**
     * A run that occupies room.
     *
     * @param task task
     * @param run number of the run
     * @param checkpoint newest saved progress, or empty
     * @param percent share of its work that is done; of a long-running task, 100 while at work
     * @param gauge tail latency in milliseconds of a serving task, else processor use in
     *     thousandths of a core
     */
    public record Running(TaskKey task, int run, String checkpoint, int percent, long gauge) {}

    /**
     * A run that has ended.
     *
     * @param sequence position in the worker's list of ends, from 1 in each life
     * @param task task
     * @param run number of the run
     * @param kind how it ended
     * @param checkpoint newest saved progress, or empty
     */
    public record Ended(long sequence, TaskKey task, int run, EndKind kind, String checkpoint) {}
}
