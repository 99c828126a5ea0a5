package org.hyssoprouter.daemon.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ToDoubleFunction;
import org.hyssoprouter.daemon.ownership.TableCounters;
import org.hyssoprouter.daemon.peer.LinkCounters;

/**
 * Meters of the control plane: traffic between daemons and operations on the table service.
 *
 * @since 0.1
 */
public final class ControlPlaneMeters {
    private ControlPlaneMeters() {}

    /** Registers the meters with {@code registry}. */
    public static void register(MeterRegistry registry, LinkCounters link, TableCounters table) {
        counter(registry, "hyssop.peer.sent.bytes", link, LinkCounters::sentBytes);
        counter(registry, "hyssop.peer.received.bytes", link, LinkCounters::receivedBytes);
        counter(registry, "hyssop.peer.late.answers", link, LinkCounters::lateAnswers);
        counter(registry, "hyssop.peer.silent.connections", link, LinkCounters::silentConnections);
        counter(registry, "hyssop.table.reads", table, t -> t.totals().reads());
        counter(registry, "hyssop.table.commits", table, t -> t.totals().commits());
        counter(registry, "hyssop.table.rows.written", table, t -> t.totals().rowsWritten());
        counter(registry, "hyssop.table.failures", table, t -> t.totals().failures());
    }

    private static <T> void counter(
            MeterRegistry registry, String name, T source, ToDoubleFunction<T> value) {
        FunctionCounter.builder(name, source, value).register(registry);
    }
}
