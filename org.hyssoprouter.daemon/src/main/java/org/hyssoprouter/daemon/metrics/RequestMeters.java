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
 * Histograms of answers to callers, for each customer and class.
 *
 * @since 0.1
 */
public final class RequestMeters implements RequestObserver {
    /** Customers that get labels of their own. */
    public static final int MAX_CUSTOMERS = 100;

    private static final int MAX_TOP = 50;
    private static final Duration[] BUCKETS = {
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
    private final LabelLimiter mCustomers = new LabelLimiter(MAX_CUSTOMERS);
    private final ConcurrentMap<Source, Meters> mMeters = new ConcurrentHashMap<>();

    private record Source(String customer, TrafficClass trafficClass) {
        String className() {
            return trafficClass.name().toLowerCase(Locale.ROOT);
        }
    }

    private record Meters(Timer answers, Timer refusals, DistributionSummary answerBytes) {}

    /** Returns the registry, for the meters of other parts. */
    public PrometheusMeterRegistry registry() {
        return mRegistry;
    }

    @Override
    public void recordReply(RequestOrder order, RequestReply reply, long nanos) {
        Source source = new Source(mCustomers.limit(order.customer()), order.trafficClass());
        Meters meters = mMeters.computeIfAbsent(source, this::register);
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
                        source.customer(),
                        "class",
                        source.className(),
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
        mMeters.forEach((source, meters) -> entries.add(entry(source, meters)));
        entries.sort(Comparator.comparingLong(TopEntry::requests).reversed());
        return List.copyOf(entries.subList(0, Math.min(MAX_TOP, entries.size())));
    }

    private static TopEntry entry(Source source, Meters meters) {
        long refused = meters.refusals().count();
        return new TopEntry(
                source.customer(),
                source.className(),
                meters.answers().count() + refused,
                refused,
                meters.answers().mean(TimeUnit.MILLISECONDS),
                meters.answers().max(TimeUnit.MILLISECONDS));
    }

    private Meters register(Source source) {
        return new Meters(
                timer(source, "answered", BUCKETS),
                timer(source, "refused", BUCKETS),
                DistributionSummary.builder("hyssop.answer.bytes")
                        .description("Size of targets' answers")
                        .tag("customer", source.customer())
                        .tag("class", source.className())
                        .register(mRegistry));
    }

    private Timer timer(Source source, String outcome, Duration... buckets) {
        return Timer.builder("hyssop.requests")
                .description("Time from a caller's whole request to its final reply")
                .tag("customer", source.customer())
                .tag("class", source.className())
                .tag("outcome", outcome)
                .serviceLevelObjectives(buckets)
                .register(mRegistry);
    }
}
