package org.hyssoprouter.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;

/**
 * Counters and histograms of workflows on this daemon. Labels are bounded: queues share the limit
 * of customers' labels, all others are fixed words.
 *
 * @since 0.2
 */
public final class WorkflowMeters {
    private static final int MAX_QUEUES = 100;
    private static final Duration[] BUCKETS = {
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
    private final LabelLimiter mQueues = new LabelLimiter(MAX_QUEUES);

    /** Counts a submission by its verdict, with the time to its answer. */
    public void recordSubmission(String queue, String verdict, long millis) {
        timer("hyssop.workflow.submissions", "queue", mQueues.limit(queue), "verdict", verdict)
                .record(Duration.ofMillis(millis));
    }

    /** Counts a commit of the owner by its outcome, with its time. */
    public void recordCommit(String outcome, long millis) {
        timer("hyssop.owner.commits", "outcome", outcome).record(Duration.ofMillis(millis));
    }

    /** Counts an order to start a run by its outcome. */
    public void recordStart(String outcome) {
        counter("hyssop.run.starts", "outcome", outcome).increment();
    }

    /** Counts a call of the approval service by its outcome, with its time. */
    public void recordApproval(String outcome, long millis) {
        timer("hyssop.approvals", "outcome", outcome).record(Duration.ofMillis(millis));
    }

    /** Counts a decision of the scheduler by its kind. */
    public void recordDecision(String what) {
        counter("hyssop.decisions", "what", what).increment();
    }

    /** Records the time of one round of decisions, in nanoseconds. */
    public void recordPlacementRound(long nanos) {
        timer("hyssop.placement.rounds").record(Duration.ofNanos(nanos));
    }

    /** Returns all meters as text for Prometheus. */
    public String scrape() {
        return mRegistry.scrape();
    }

    private Timer timer(String name, String... tags) {
        return Timer.builder(name).tags(tags).serviceLevelObjectives(BUCKETS).register(mRegistry);
    }

    private Counter counter(String name, String... tags) {
        return Counter.builder(name).tags(tags).register(mRegistry);
    }
}
