package org.hyssoprouter.lib.workflow;

import io.vavr.control.Option;

/**
 * Settings of a queue in the configuration.
 *
 * @param name name of the queue
 * @param host Host header that routes a request to the queue
 * @param pathPrefix path prefix that routes a request to the queue
 * @param pool name of the pool whose workers run the queue's tasks
 * @param priority scheduling priority; 0 is the most urgent
 * @param maxAttempts number of failed runs of a task after which its workflow fails
 * @param objective target for the completion time of a workflow
 * @param approval properties of the approval service; none if steps of the queue need no approval
 * @param keyRequired whether a call needs the API key of a workspace
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
        Option<ApprovalPolicy> approval,
        boolean keyRequired) {
    /** Creates the settings of a queue that callers use without an API key. */
    public QueuePolicy(
            String name,
            String host,
            String pathPrefix,
            String pool,
            int priority,
            int maxAttempts,
            Objective objective,
            Option<ApprovalPolicy> approval) {
        this(name, host, pathPrefix, pool, priority, maxAttempts, objective, approval, false);
    }

    /**
     * Target for the completion time of a workflow.
     *
     * @param slackFactor factor applied to the critical path of the workflow
     * @param extraMillis allowance added to the scaled critical path, in milliseconds
     */
    public record Objective(double slackFactor, long extraMillis) {}

    /**
     * Expected response time of the approval service and validity of its tickets.
     *
     * @param baseMillis fixed duration of a call, in milliseconds
     * @param perWorkerMillis additional duration for each worker in the request, in milliseconds
     * @param validMillis validity of a ticket, in milliseconds
     */
    public record ApprovalPolicy(double baseMillis, double perWorkerMillis, long validMillis) {
        /** Returns the expected duration of a call for a number of workers, in milliseconds. */
        public double expectedCallMillis(int workers) {
            return baseMillis + perWorkerMillis * workers;
        }
    }
}
