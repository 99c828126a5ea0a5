package org.hyssoprouter.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Random;
import org.hyssoprouter.bench.history.History;
import org.hyssoprouter.bench.history.HistoryChecker;
import org.hyssoprouter.lib.TrafficClass;

/** Injects random faults, sometimes two at once, while requests and jobs run. */
final class FaultsCase implements MeasureCase {
    private static final int CALLERS = 12;
    private static final long WARM_UP_MILLIS = 1_500;
    private static final long RECOVERY_PAUSE_MILLIS = 1_000;

    @Override
    public String name() {
        return "faults";
    }

    @Override
    public String description() {
        return "random faults under load, with the history checked at the end";
    }

    @Override
    public boolean run(MeasureOptions options, PrintStream out) throws Exception {
        CellPlan plan =
                Scenario.shortTimeoutPlan()
                        .domain("south-a", "south", 3, 4)
                        .domain("south-b", "south", 2, 4)
                        .domain("north-a", "north", 2, 4);
        try (Scenario scenario = Scenario.start(plan, options.seed(), CALLERS)) {
            scenario.startLoops(index -> request(options.seed(), index));
            int jobCount = Math.max(1, options.seconds() / 10);
            for (int i = 0; i < jobCount; i++) {
                scenario.submitBatchJob("batch-" + i, 120, 800);
            }
            Cell.sleep(WARM_UP_MILLIS);
            injectFaults(scenario, options, out);
            List<CallerAnswer> last = scenario.finish();
            return report(scenario.history(), last, out);
        }
    }

    private static void injectFaults(Scenario scenario, MeasureOptions options, PrintStream out)
            throws IOException {
        Random random = new Random(options.seed());
        FaultInjector injector = new FaultInjector(scenario.cell(), random, out);
        long endNanos = System.nanoTime() + options.seconds() * 1_000_000_000L;
        while (System.nanoTime() < endNanos) {
            injector.injectOne();
            Cell.sleep(RECOVERY_PAUSE_MILLIS);
        }
    }

    private static CallerRequest request(long seed, int index) {
        Random random = new Random(seed * 1_000_003 + index);
        String customer =
                random.nextInt(3) == 0 ? CellConfig.SECOND_CUSTOMER : CellConfig.FIRST_CUSTOMER;
        String key = "r" + seed + "-" + index;
        long workMillis = random.nextInt(60);
        CallerRequest request =
                random.nextBoolean()
                        ? CallerRequest.idempotent(key, customer, workMillis)
                        : CallerRequest.atMostOnce(key, customer, workMillis);
        TrafficClass[] classes = TrafficClass.values();
        int sizeBytes = random.nextInt(20) == 0 ? 300_000 : random.nextInt(200);
        return request.withClass(classes[random.nextInt(classes.length)], 2_000)
                .withSizes(sizeBytes, 0);
    }

    private static boolean report(History history, List<CallerAnswer> last, PrintStream out) {
        List<String> violations = HistoryChecker.findViolations(history);
        long ran = last.stream().filter(CallerAnswer::ran).count();
        ReportFormatter.printRow(out, "operations in the history", history.operationCount());
        ReportFormatter.printRow(out, "requests", last.size());
        ReportFormatter.printRow(out, "of them ran in the end", ran);
        ReportFormatter.printRow(out, "sendings, with repeats", history.answers().size());
        ReportFormatter.printRow(out, "breaches of promises", violations.size());
        violations.forEach(violation -> out.println("    " + violation));
        return violations.isEmpty();
    }
}
