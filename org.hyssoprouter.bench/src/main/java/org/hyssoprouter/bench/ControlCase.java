package org.hyssoprouter.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.standin.platform.PlatformStats;

/**
 * Measures the control overhead at three fleet sizes: memory, CPU share, bytes sent between daemons
 * and table operations, both idle and with running tasks that only have to be kept running.
 */
final class ControlCase implements MeasureCase {
    private static final int[] WORKERS_PER_DOMAIN = {4, 8, 16};
    private static final int TASKS_PER_WORKER = 4;
    private static final long CLOCK_TICKS_PER_SECOND = 100;
    private static final long WARM_UP_MILLIS = 5_000;

    @Override
    public String name() {
        return "control";
    }

    @Override
    public String description() {
        return "memory, processor share, peer bytes and table use of idle and busy daemons";
    }

    @Override
    public boolean run(MeasureOptions options, PrintStream out) throws Exception {
        int seconds = Math.max(4, options.seconds() / (2 * WORKERS_PER_DOMAIN.length));
        out.printf(
                "%-8s %-6s %7s %9s %9s %9s %9s %9s %9s%n",
                "workers",
                "state",
                "tasks",
                "RSS MB",
                "max MB",
                "cpu %",
                "max cpu",
                "peer B/s",
                "table r+w");
        for (int workers : WORKERS_PER_DOMAIN) {
            measure(workers, seconds, out);
        }
        return true;
    }

    private static void measure(int workers, int seconds, PrintStream out) throws Exception {
        CellPlan plan =
                new CellPlan()
                        .domain("south-a", "south", 3, workers)
                        .domain("south-b", "south", 3, workers)
                        .domain("north-a", "north", 2, workers);
        try (Cell cell = Cell.start(plan)) {
            Cell.sleep(WARM_UP_MILLIS);
            report(cell, "idle", 0, seconds, out);
            int tasks = submit(cell, workers);
            Cell.sleep(WARM_UP_MILLIS);
            report(cell, "busy", 3 * tasks, seconds, out);
        }
    }

    private static int submit(Cell cell, int workers) {
        int tasks = workers * TASKS_PER_WORKER;
        for (int i = 0; i < 3; i++) {
            JobSpec spec =
                    new JobSpec(
                            "kept-" + i,
                            CellConfig.FIRST_CUSTOMER,
                            WorkKind.SERVICE,
                            TrafficClass.NORMAL,
                            tasks,
                            new Room(1_000, 1L << 30, 0),
                            0,
                            3,
                            i == 0 ? "north" : "south",
                            "");
            int status = cell.client().submit(cell.daemons().get(i), spec).status();
            if (status / 100 != 2) {
                throw new IllegalStateException("job submission rejected with status " + status);
            }
        }
        return tasks;
    }

    private static void report(Cell cell, String state, int tasks, int seconds, PrintStream out)
            throws IOException {
        List<Sample> before = samples(cell);
        PlatformStats statsBefore = cell.platformStats();
        Cell.sleep(seconds * 1_000L);
        List<Sample> after = samples(cell);
        PlatformStats statsAfter = cell.platformStats();
        double meanMb = after.stream().mapToDouble(Sample::residentMb).average().orElse(0);
        double maxMb = after.stream().mapToDouble(Sample::residentMb).max().orElse(0);
        List<Double> shares = new ArrayList<>();
        double peerBytes = 0;
        for (int i = 0; i < before.size(); i++) {
            double usedTicks = after.get(i).cpuTicks() - before.get(i).cpuTicks();
            shares.add(100 * usedTicks / CLOCK_TICKS_PER_SECOND / seconds);
            peerBytes += after.get(i).peerBytes() - before.get(i).peerBytes();
        }
        double tableOperations =
                (double) (statsAfter.reads() - statsBefore.reads())
                        + statsAfter.rowsWritten()
                        - statsBefore.rowsWritten();
        double meanShare = shares.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        double maxShare = shares.stream().mapToDouble(Double::doubleValue).max().orElse(0);
        int hosts = cell.hosts().size();
        double bytesPerDaemon = peerBytes / before.size() / seconds;
        out.printf(
                "%-8d %-6s %7d %9.1f %9.1f %9.2f %9.2f %9.0f %9.1f%n",
                hosts,
                state,
                tasks,
                meanMb,
                maxMb,
                meanShare,
                maxShare,
                bytesPerDaemon,
                tableOperations / seconds);
        out.printf(
                Locale.ROOT,
                "{\"case\":\"control\",\"workers\":%d,\"state\":\"%s\",\"tasks\":%d,"
                        + "\"residentMb\":%.1f,\"maxResidentMb\":%.1f,\"cpuPercent\":%.2f,"
                        + "\"maxCpuPercent\":%.2f,\"peerBytesPerSecond\":%.0f,"
                        + "\"tablePerSecond\":%.1f}%n",
                hosts,
                state,
                tasks,
                meanMb,
                maxMb,
                meanShare,
                maxShare,
                bytesPerDaemon,
                tableOperations / seconds);
    }

    private static List<Sample> samples(Cell cell) throws IOException {
        List<Sample> samples = new ArrayList<>();
        for (DaemonProcess daemon : cell.daemons()) {
            samples.add(sample(cell, daemon));
        }
        return samples;
    }

    private static Sample sample(Cell cell, DaemonProcess daemon) throws IOException {
        long id = daemon.process().id();
        String status = Files.readString(Path.of("/proc/" + id + "/status"));
        double residentKb =
                status.lines()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
                        .findFirst()
                        .orElse(0);
        String stat = Files.readString(Path.of("/proc/" + id + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
        return new Sample(residentKb / 1024, ticks, peerBytes(cell, daemon));
    }

    private static double peerBytes(Cell cell, DaemonProcess daemon) {
        String page =
                new String(
                        cell.client().callAsOperator(daemon, "GET", "/metrics", null).body(),
                        StandardCharsets.UTF_8);
        return page.lines()
                .filter(line -> line.startsWith("hyssop_peer_sent_bytes_total"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
                .sum();
    }

    /**
     * Resource counters of one daemon at one time.
     *
     * @param residentMb resident memory in MiB
     * @param cpuTicks CPU time since the start, in clock ticks
     * @param peerBytes bytes sent to peers since the start
     */
    private record Sample(double residentMb, long cpuTicks, double peerBytes) {}
}
