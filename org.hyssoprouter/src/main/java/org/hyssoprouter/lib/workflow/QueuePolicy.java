package org.hyssoprouter.lib.workflow;

import io.vavr.control.Option;

/**
 * What the configuration says of a queue.
 *
 * @param name name
 * @param host value of the callers' host header
 * @param pathPrefix prefix of the callers' paths
 * @param pool pool whose workers run its tasks
 * @param priority urgency; 0 comes first
 * @param maxAttempts failed runs of a task after which its workflow fails
 * @param objective how soon a workflow should be complete
 * @param approval bounds of the approval service, if steps of the queue need its approval
 * @since 0.2
 */
public record QueuePolicy(
        String name,
        String host,
        String pathPrefix,
        String pool,
        int priority,
        int maxAttempts,
        Objective objective,
        Option<ApprovalPolicy> approval) {
    /**
     * How soon a workflow should be complete.
     *
     * @param slackFactor factor on its longest chain of work
     * @param extraMillis time on top, in milliseconds
     */
    public record Objective(double slackFactor, long extraMillis) {}

    /**
     * How long the approval service takes.
     *
     * @param baseMillis time of a call, in milliseconds
     * @param perWorkerMillis time for each worker named, in milliseconds
     * @param validMillis time for which a ticket is accepted, in milliseconds
     */
    public record ApprovalPolicy(double baseMillis, double perWorkerMillis, long validMillis) {
        /** Returns the expected time of a call that names so many workers, in milliseconds. */
        public double expectedCallMillis(int workers) {
            return baseMillis + perWorkerMillis * workers;
        }
    }
}
