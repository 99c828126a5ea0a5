package org.hyssoprouter.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;

/**
 * Records counters and histograms of the workflows on this daemon. The number of label values is
 * bounded: queue names are limited to {@link #MAX_QUEUES}, all other values are constants.
 *
 * @since 0.2
 */
public final class WorkflowMeters {
    private static final int MAX_QUEUES = 100;
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofMillis(2_500),
        Duration.ofSeconds(10)
    };

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final LabelLimiter mQueueLabels = new LabelLimiter(MAX_QUEUES);

    /** Records a submission by its verdict, with the time until its reply in milliseconds. */
    public void recordSubmission(String queue, String verdict, long millis) {
        timer("hyssop.workflow.submissions", "queue", mQueueLabels.limit(queue), "verdict", verdict)
                .record(Duration.ofMillis(millis));
    }

    /** Records a commit of the owner by its outcome, with its duration in milliseconds. */
    public void recordCommit(String outcome, long millis) {
        timer("hyssop.owner.commits", "outcome", outcome).record(Duration.ofMillis(millis));
    }

    /** Counts an order to start a run by its outcome. */
    public void recordStart(String outcome) {
        counter("hyssop.run.starts", "outcome", outcome).increment();
    }

    /** Records the time from the placement of a run to the sending of its start order. */
    public void recordStartDelay(long millis) {
        timer("hyssop.run.start.delay").record(Duration.ofMillis(millis));
    }

    /** Records the time that an event has waited for the owner's thread. */
    public void recordOwnerQueueDelay(long millis) {
        timer("hyssop.owner.queue.delay").record(Duration.ofMillis(millis));
    }

    /** Records a call of the approval service by its outcome, with its duration in milliseconds. */
    public void recordApproval(String outcome, long millis) {
        timer("hyssop.approvals", "outcome", outcome).record(Duration.ofMillis(millis));
    }

    /** Counts a call for a number of waiting workflows by its outcome. */
    public void countQueueCountCall(String outcome) {
        counter("hyssop.queue.counts", "outcome", outcome).increment();
    }

    /**
     * Records the age of a number of waiting workflows that a caller has asked for.
     *
     * @param answered whether it was recent enough to be answered
     * @param ageMillis age in milliseconds
     */
    public void recordQueueCountAge(boolean answered, long ageMillis) {
        timer("hyssop.queue.count.age", "answered", Boolean.toString(answered))
                .record(Duration.ofMillis(ageMillis));
    }

    /** Records the highest age of an interval of what the owner has read of the workflows. */
    public void recordAcceptedAge(long ageMillis) {
        timer("hyssop.owner.accepted.age").record(Duration.ofMillis(ageMillis));
    }

    /** Counts a commit of the owner without the numbers of waiting workflows, by the reason. */
    public void countHeldLoad(String reason) {
        counter("hyssop.owner.load.held", "reason", reason).increment();
    }

    /** Counts a transaction that was sent a second time because no answer arrived. */
    public void recordHedgedCommit() {
        counter("hyssop.commits.hedged").increment();
    }

    /** Counts a scheduling decision by its kind. */
    public void recordDecision(String kind) {
        counter("hyssop.decisions", "what", kind).increment();
    }

    /** Counts preemptions, or steps for which no task was stopped, by cause. */
    public void countPreemptions(String cause, int count) {
        counter("hyssop.preemptions", "cause", cause).increment(count);
    }

    /** Counts a call that was refused because of its caller, by the reason. */
    public void recordCallerRefusal(String reason) {
        counter("hyssop.caller.refusals", "reason", reason).increment();
    }

    /** Counts a workflow that has failed because its tasks crash workers. */
    public void countGivenUpWorkflow(String queue) {
        counter("hyssop.workflows.given.up", "queue", mQueueLabels.limit(queue)).increment();
    }

    /** Counts runs that were lost with their worker, by cause. */
    public void countLostRuns(String cause, int count) {
        counter("hyssop.runs.lost", "cause", cause).increment(count);
    }

    /** Counts workflows that have failed, by cause. */
    public void countFailedWorkflows(String cause, int count) {
        counter("hyssop.workflows.failed", "cause", cause).increment(count);
    }

    /** Counts a pair of kinds of tasks that was believed to interfere, or forgotten. */
    public void countInterferenceChange(String change) {
        counter("hyssop.interference.changes", "change", change).increment();
    }

    /** Counts an ownership that was released before its pools were open. */
    public void countUnopenedOwnership() {
        counter("hyssop.owner.unopened").increment();
    }

    /** Records the duration of one placement round in nanoseconds. */
    public void recordPlacementRound(long nanos) {
        timer("hyssop.placement.rounds").record(Duration.ofNanos(nanos));
    }

    /** Counts a call for the configuration by its source and result. */
    public void recordConfigCall(String source, String result) {
        counter("hyssop.config.calls", "source", source, "result", result).increment();
    }

    /** Counts bytes of configurations, received by source or {@code served} to other hosts. */
    public void recordConfigBytes(String kind, int bytes) {
        counter("hyssop.config.bytes", "kind", kind).increment(bytes);
    }

    /** Returns all meters in the text format of Prometheus. */
    public String scrape() {
        return mRegistry.scrape();
    }

    private Timer timer(String name, String... tags) {
        return Timer.builder(name)
                .tags(tags)
                .serviceLevelObjectives(LATENCY_BUCKETS)
                .register(mRegistry);
    }

    private Counter counter(String name, String... tags) {
        return Counter.builder(name).tags(tags).register(mRegistry);
    }
}
