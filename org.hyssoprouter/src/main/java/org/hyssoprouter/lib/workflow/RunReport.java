package org.hyssoprouter.lib.workflow;

import java.util.List;

/**
 * Report of a worker on its active runs and on those that have ended.
 *
 * @param clockMillis worker's monotonic clock, in milliseconds
 * @param incarnationMillis start time of the worker's current incarnation, which identifies it, in
 *     milliseconds since 1970; 0 if unknown
 * @param running runs that occupy resources
 * @param ended ended runs that the owner has not acknowledged yet, by sequence
 * @param truncated whether further runs may have ended; the worker lists them once some of these
 *     are acknowledged
 * @since 0.2
 */
public record RunReport(
        long clockMillis,
        long incarnationMillis,
        List<Running> running,
        List<Ended> ended,
        boolean truncated) {
    /** Creates a report that lists all ended runs. */
    public RunReport(
            long clockMillis, long incarnationMillis, List<Running> running, List<Ended> ended) {
        this(clockMillis, incarnationMillis, running, ended, false);
    }

    /**
     * An active run.
     *
     * @param task key of the task
     * @param run number of the run
     * @param checkpoint latest checkpoint, or empty
     * @param percent completed share of the work, in percent; 100 for a long-running task while it
     *     works
     * @param gauge tail latency in milliseconds of a serving task, otherwise CPU usage in
     *     thousandths of a core
     */
    public record Running(TaskKey task, int run, String checkpoint, int percent, long gauge) {}

    /**
     * An ended run.
     *
     * @param sequence sequence number of the end, counted from 1 in each incarnation of the worker
     * @param task key of the task
     * @param run number of the run
     * @param kind reason why the run ended
     * @param checkpoint latest checkpoint, or empty
     */
    public record Ended(long sequence, TaskKey task, int run, EndKind kind, String checkpoint) {}
}
