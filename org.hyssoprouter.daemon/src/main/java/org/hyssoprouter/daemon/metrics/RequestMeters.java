package org.hyssoprouter.daemon.metrics;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.daemon.http.RequestObserver;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/**
 * Records histograms of replies to callers by customer and traffic class.
 *
 * @since 0.1
 */
public final class RequestMeters implements RequestObserver {
    /** Number of customers that get their own label; bounds the number of time series. */
    public static final int MAX_CUSTOMERS = 100;

    private static final int MAX_TOP_ENTRIES = 50;
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(2),
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
    private final LabelLimiter mCustomerLabels = new LabelLimiter(MAX_CUSTOMERS);
    private final ConcurrentMap<LabelValues, Meters> mMetersByLabels = new ConcurrentHashMap<>();

    private record LabelValues(String customer, TrafficClass trafficClass) {
        String classLabel() {
            return trafficClass.name().toLowerCase(Locale.ROOT);
        }
    }

    private record Meters(Timer answers, Timer refusals, DistributionSummary answerBytes) {}

    /** Returns the registry, so that other components can add meters. */
    public PrometheusMeterRegistry registry() {
        return mRegistry;
    }

    @Override
    public void recordReply(RequestOrder order, RequestReply reply, long nanos) {
        LabelValues labels =
                new LabelValues(mCustomerLabels.limit(order.customer()), order.trafficClass());
        Meters meters = mMetersByLabels.computeIfAbsent(labels, this::register);
        Refusal refusal = reply.refusal();
        if (refusal == null) {
            meters.answers().record(nanos, TimeUnit.NANOSECONDS);
            meters.answerBytes().record(reply.body().length);
            return;
        }
        meters.refusals().record(nanos, TimeUnit.NANOSECONDS);
        mRegistry
                .counter(
                        "hyssop.refusals",
                        "customer",
                        labels.customer(),
                        "class",
                        labels.classLabel(),
                        "code",
                        refusal.code().name(),
                        "verdict",
                        refusal.verdict().name())
                .increment();
    }

    @Override
    public String scrape() {
        return mRegistry.scrape();
    }

    @Override
    public List<TopEntry> top() {
        List<TopEntry> entries = new ArrayList<>();
        mMetersByLabels.forEach((labels, meters) -> entries.add(topEntry(labels, meters)));
        entries.sort(Comparator.comparingLong(TopEntry::requests).reversed());
        return List.copyOf(entries.subList(0, Math.min(MAX_TOP_ENTRIES, entries.size())));
    }

    private static TopEntry topEntry(LabelValues labels, Meters meters) {
        long refused = meters.refusals().count();
        return new TopEntry(
                labels.customer(),
                labels.classLabel(),
                meters.answers().count() + refused,
                refused,
                meters.answers().mean(TimeUnit.MILLISECONDS),
                meters.answers().max(TimeUnit.MILLISECONDS));
    }

    private Meters register(LabelValues labels) {
        return new Meters(
                timer(labels, "answered", LATENCY_BUCKETS),
                timer(labels, "refused", LATENCY_BUCKETS),
                DistributionSummary.builder("hyssop.answer.bytes")
                        .description("Size of targets' answers")
                        .tag("customer", labels.customer())
                        .tag("class", labels.classLabel())
                        .register(mRegistry));
    }

    private Timer timer(LabelValues labels, String outcome, Duration... buckets) {
        return Timer.builder("hyssop.requests")
                .description("Time from a caller's whole request to its final reply")
                .tag("customer", labels.customer())
                .tag("class", labels.classLabel())
                .tag("outcome", outcome)
                .serviceLevelObjectives(buckets)
                .register(mRegistry);
    }
}
